package soak

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Configuration is what the versions of a site's configuration differ in.
type Configuration struct {
	Keys  []string
	Extra []string // paths of routes beyond the first ones
	// StreamTimeout and PlainTimeout are what operators let callers wait at most.
	StreamTimeout, PlainTimeout time.Duration
	// IdleTime bounds callers' idle connections; 0: nothing does.
	IdleTime    time.Duration
	Weights     [2]int // of the parts into which the idempotent route is split
	Priority    int    // of the organisation
	BodyBytes   int    // that a request may have
	Connections int    // that a server of the plain service takes
}

// Callers' requests are never ended before these, whatever the configuration.
const (
	leastStreamTimeout = 8 * time.Second
	leastPlainTimeout  = 2 * time.Second
)

func firstConfiguration() Configuration {
	return Configuration{
		Keys: []string{"k0", "k1"}, StreamTimeout: leastStreamTimeout, PlainTimeout: leastPlainTimeout,
		Weights: [2]int{1, 0}, Priority: 1, BodyBytes: 1000000, Connections: 400,
	}
}

// Configure writes the next version of the configuration, which change may alter first.
func (s *Site) Configure(change func(*Configuration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change != nil {
		change(&s.configuration)
	}
	s.version += 3
	s.Store.Put("op", "config", []byte(s.configuration.text(s.version)))
}

// idleTime returns the limit that callers know.
func (s *Site) idleTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration.IdleTime
}

func (c *Configuration) text(version int) string {
	plain := fmt.Sprintf(`"timeoutMs":%d`, c.PlainTimeout.Milliseconds())
	one := fmt.Sprintf(`"service":%q`, plainService)
	split := fmt.Sprintf(`"backends":[{"service":%q,"weight":%d},{"service":%q,"weight":%d}]`, plainService, c.Weights[0], plainService, c.Weights[1])
	routes := []string{
		route("stream", "/stream/", "streaming", fmt.Sprintf(`"service":%q`, modelService), fmt.Sprintf(
			`"streamResume":true,"maxAttempts":5,"timeoutMs":%d,"targetLatencyMs":1000,"targetGapMs":700`, c.StreamTimeout.Milliseconds())),
		route("once", "/once/", "non_idempotent", one, `"maxAttempts":1,"targetLatencyMs":300,`+plain),
		route("any", "/any/", "idempotent", split, `"maxAttempts":2,"targetLatencyMs":300,`+plain),
	}
	for i, path := range c.Extra {
		routes = append(routes, route(fmt.Sprintf("extra-%d", i), path, "idempotent", one, `"maxAttempts":2,`+plain))
	}
	limits := fmt.Sprintf(`"maxBodyBytes":%d`, c.BodyBytes)
	if c.IdleTime > 0 {
		limits += fmt.Sprintf(`,"idleTimeoutMs":%d`, c.IdleTime.Milliseconds())
	}
	keys, _ := json.Marshal(c.Keys)
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"healthPath":"/healthz","inferenceEngine":{"backups":true,"moves":true}},`+
		`{"name":%q,"healthPath":"/healthz","maxConnections":%d}],"limits":{%s},"tenants":[{"name":"org","apiKeys":%s,"priority":%d}]}`,
		version, strings.Join(routes, ","), modelService, plainService, c.Connections, limits, keys, c.Priority)
}

func route(name, path, kind, target, more string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"routeType":%q,%s,%s}`, name, host, path, kind, target, more)
}
