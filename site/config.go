package site

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind uint8

// Kinds of requests.
const (
	// AtMostOnce is the zero value, so that a route whose kind is not
	// understood is never repeated.
	AtMostOnce Kind = iota
	Idempotent
	Stream
)

// String names the kind for logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "at_most_once"
	}
}

// Target is one of the services that a route may go to.
type Target struct {
	Service string
	Weight  int
}

// maxWeight is far above any weight that is meant. The sum of larger ones
// overflows, and a draw from a sum below zero ends the process.
const maxWeight = 1 << 30

func (t Target) share() int { return min(max(0, t.Weight), maxWeight) }

// Route says where requests of one host and path prefix go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind

	Targets     []Target
	Timeout     time.Duration // longest time without a final answer; 0: none
	Objective   time.Duration // an answer (streams: the first event) within it is in time
	MaxGap      time.Duration // longest pause between events of a stream in time; 0: none
	MaxAttempts int           // backend servers that may run one request
	Priority    int           // 0 is the most urgent
	Public      bool          // needs no key
	Resumable   bool          // another backend server may go on from an event id

	// Refused says why no request of this route can be handed on: the part of the
	// configuration that says how can't be read. Empty: they can.
	Refused string
}

// Repeatable tells whether the request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Attempts returns how many backend servers may run one request, at least one.
func (r *Route) Attempts() int {
	if !r.Repeatable() {
		return 1
	}
	return max(1, r.MaxAttempts)
}

// Pick returns the service for one request, by weight.
func (r *Route) Pick() string {
	total := 0
	for _, t := range r.Targets {
		total += t.share()
	}
	if total == 0 {
		return r.anyTarget()
	}
	n := rand.IntN(total)
	for _, t := range r.Targets {
		n -= t.share()
		if n < 0 {
			return t.Service
		}
	}
	return r.anyTarget()
}

func (r *Route) anyTarget() string {
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Service is a kind of backend server.
type Service struct {
	Name       string
	HealthPath string // answers with the id of the process; empty: none
	MaxConns   int    // connections that one backend server accepts from all callers
	// Copies: a running stream's prompt memory can be copied to another backend server.
	Copies bool
	// CopiesOnCall: such a copy can also be asked for while the stream runs.
	CopiesOnCall bool
}

// Organisation is the holder of keys.
type Organisation struct {
	Name     string
	Priority int // goes before the route's; negative: none
}

// ClientLimits bound what a client may send. Zero means no limit.
type ClientLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Config is one accepted version. It is not changed after New.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   ClientLimits
	Faults   []string // parts that can't be read, with their places

	routes  int
	targets []string // services that routes lead to, each once
	byHost  map[string][]*Route
	byKey   map[string]*Organisation
}

// Keyed is an organisation with its keys.
type Keyed struct {
	Organisation
	Keys []string
}

// New indexes a version for the path of requests.
func New(version uint64, routes []Route, services []Service, organisations []Keyed, limits ClientLimits) *Config {
	c := &Config{
		Version: version, Limits: limits, routes: len(routes),
		Services: make(map[string]Service, len(services)),
		byHost:   map[string][]*Route{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	c.targets = targetsOf(routes)
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.indexKeys(organisations)
	return c
}

func targetsOf(routes []Route) []string {
	var services []string
	for i := range routes {
		for _, t := range routes[i].Targets {
			services = append(services, t.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

func (c *Config) indexKeys(organisations []Keyed) {
	if len(organisations) == 0 {
		return
	}
	c.byKey = map[string]*Organisation{}
	for _, o := range organisations {
		owner := o.Organisation
		for _, key := range o.Keys {
			if key != "" { // a request without a key would have it
				c.byKey[key] = &owner
			}
		}
	}
}

// Goes tells whether a route that is in force leads to a service that passes.
func (c *Config) Goes(passes func(service string) bool) bool {
	for _, service := range c.targets {
		if passes(service) {
			return true
		}
	}
	return false
}

// Routes returns how many routes the version has.
func (c *Config) Routes() int { return c.routes }

// Match returns the route of host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	list, ok := c.byHost[strings.ToLower(host)]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		list = c.byHost[strings.ToLower(name)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keys tells whether requests need a key at all.
func (c *Config) Keys() bool { return c.byKey != nil }

// Owner returns the organisation that holds a key, or nil.
func (c *Config) Owner(key string) *Organisation { return c.byKey[key] }
