package soak

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

// Configuration holds the values in which the versions of a site's configuration differ.
type Configuration struct {
	Keys  []string // API keys of the organisation; in a run, k0, which callers use, is always one
	Extra []string // path prefixes of additional routes
	// StreamTimeout and PlainTimeout are the timeouts of the routes.
	StreamTimeout, PlainTimeout time.Duration
	// IdleTimeout limits how long callers' connections may be idle; 0 leaves the limit out
	// of the configuration.
	IdleTimeout time.Duration
	Weights     [2]int // of the two backends of the idempotent route, both the plain service
	Priority    int    // of the organisation
	BodyBytes   int    // maximum size of a request body, in bytes
	Contended   bool   // see Size
	Connections int    // maximum number of connections per server of the plain service
}

// Shortest timeouts of the routes in any configuration: no request may be given up
// earlier.
const (
	minStreamTimeout = 8 * time.Second
	minPlainTimeout  = 2 * time.Second
)

func initialConfiguration() Configuration {
	return Configuration{
		Keys: []string{"k0", "k1"}, StreamTimeout: minStreamTimeout, PlainTimeout: minPlainTimeout,
		Weights: [2]int{1, 0}, Priority: 1, BodyBytes: 1000000, Connections: 400,
	}
}

// Configure applies change, if it is not nil, and writes the next version of the configuration to the store.
func (s *Site) Configure(change func(*Configuration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change != nil {
		change(&s.configuration)
	}
	s.version += 3 // versions need not be consecutive
	s.Store.Put("op", "config", []byte(s.configuration.encode(s.version)))
}

// idleTimeout returns the idle timeout of the newest configuration.
func (s *Site) idleTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration.IdleTimeout
}

// encode returns the configuration as JSON.
func (c *Configuration) encode(version int) string {
	plainTimeout := fmt.Sprintf(`"timeoutMs":%d`, c.PlainTimeout.Milliseconds())
	plainBackend := fmt.Sprintf(`"service":%q`, plainService)
	weightedBackends := fmt.Sprintf(`"backends":[{"service":%q,"weight":%d},{"service":%q,"weight":%d}]`, plainService, c.Weights[0], plainService, c.Weights[1])
	routes := []string{
		c.streamRoute("stream", streamPath, 0),
		route("once", "/once/", "non_idempotent", plainBackend, `"maxAttempts":1,"targetLatencyMs":300,`+plainTimeout),
		route("any", "/any/", "idempotent", weightedBackends, `"maxAttempts":2,"targetLatencyMs":300,`+plainTimeout),
	}
	engine, second := `"backups":true,"moves":true`, ""
	if c.Contended {
		routes = append(routes, c.contendedRoutes()...)
		engine += fmt.Sprintf(`,"kvCapacityTokens":%d,"stride":%d`, contendedEngine.Memory, nursery.EventTokens)
		second = fmt.Sprintf(`,{"name":%q,"apiKeys":[%q],"priority":%d}`, secondOrganisation, secondKey, c.Priority+1)
	}
	for i, path := range c.Extra {
		routes = append(routes, route(fmt.Sprintf("extra-%d", i), path, "idempotent", plainBackend, `"maxAttempts":2,`+plainTimeout))
	}
	limits := fmt.Sprintf(`"maxBodyBytes":%d`, c.BodyBytes)
	if c.IdleTimeout > 0 {
		limits += fmt.Sprintf(`,"idleTimeoutMs":%d`, c.IdleTimeout.Milliseconds())
	}
	keys, _ := json.Marshal(c.Keys)
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"healthPath":"/healthz","inferenceEngine":{%s}},`+
		`{"name":%q,"healthPath":"/healthz","maxConnections":%d}],"limits":{%s},"tenants":[{"name":"org","apiKeys":%s,"priority":%d}%s]}`,
		version, strings.Join(routes, ","), modelService, engine, plainService, c.Connections, limits, keys, c.Priority, second)
}

// streamRoute returns the route of streams of a priority.
func (c *Configuration) streamRoute(name, path string, priority int) string {
	return route(name, path, "streaming", fmt.Sprintf(`"service":%q`, modelService), fmt.Sprintf(
		`"streamResume":true,"maxAttempts":5,"timeoutMs":%d,"targetLatencyMs":%d,"targetGapMs":700,"priority":%d`, c.StreamTimeout.Milliseconds(), streamObjectives[priority].Milliseconds(), priority))
}

// contendedRoutes returns the less urgent stream routes of a contended site.
func (c *Configuration) contendedRoutes() []string {
	var routes []string
	for priority, path := range contendedPaths[1:] {
		routes = append(routes, c.streamRoute(fmt.Sprintf("stream-%d", priority+1), path, priority+1))
	}
	return routes
}

// route returns a route as JSON. target and options are fields of the route.
func route(name, path, kind, target, options string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"routeType":%q,%s,%s}`, name, host, path, kind, target, options)
}
