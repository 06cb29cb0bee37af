package site

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a route's requests. It determines whether they may be repeated.
type Kind uint8

// Kinds of requests.
const (
	// AtMostOnce is the zero value, so that requests of a route whose kind is unknown are
	// never repeated.
	AtMostOnce Kind = iota
	// Idempotent requests may be repeated.
	Idempotent
	// Stream requests have a stream of events as their response. They may be repeated if
	// the route is Resumable.
	Stream
)

// String returns the kind's name in logs and metrics.
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

// Target is one of the services that a route leads to.
type Target struct {
	Service string
	Weight  int
}

// maxWeight is far above any sensible weight. A sum of larger ones could overflow, and
// rand.IntN panics on a negative sum.
const maxWeight = 1 << 30

func (t Target) boundedWeight() int { return min(max(0, t.Weight), maxWeight) }

// Route describes where requests of one host and path prefix go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind

	Targets     []Target
	Timeout     time.Duration // longest time without a final response; 0: no limit
	Objective   time.Duration // a response (of a stream: the first event) is in time if it takes no longer; 0: none
	MaxGap      time.Duration // a stream is in time if no pause between its events is longer; 0: no limit
	MaxAttempts int           // number of backend servers that may run one request; see Attempts
	Priority    int           // 0 is the most urgent
	Public      bool          // needs no key
	Resumable   bool          // another backend server can continue from an event id

	// RefusalReason is the reason why all requests of this route are refused: a part of its
	// configuration can't be read. Empty if they are not.
	RefusalReason string
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Attempts returns the number of backend servers that may run one request, at least one.
func (r *Route) Attempts() int {
	if !r.Repeatable() {
		return 1
	}
	return max(1, r.MaxAttempts)
}

// Pick returns the service for one request, chosen at random by weight.
func (r *Route) Pick() string {
	total := 0
	for _, t := range r.Targets {
		total += t.boundedWeight()
	}
	if total == 0 {
		return r.firstTarget()
	}
	n := rand.IntN(total)
	for _, t := range r.Targets {
		n -= t.boundedWeight()
		if n < 0 {
			return t.Service
		}
	}
	return r.firstTarget()
}

func (r *Route) firstTarget() string {
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Service is a kind of backend server.
type Service struct {
	Name       string
	HealthPath string // path at which a backend server responds with the id of its process; empty: none
	MaxConns   int    // connections that one backend server accepts from all callers
	// Copies is set if a running stream's KV cache can be copied to another backend
	// server.
	Copies bool
	// CopiesOnDemand is set if such a copy can also be requested while the stream runs.
	CopiesOnDemand bool
	// Memory is the number of tokens that one backend server can hold: of prompts, of what it
	// has generated for them and of copies; 0: unknown or unlimited.
	Memory int
	// CopyTTL is how long a server keeps the copy that a run sent if the run does not end
	// successfully; 0: unknown.
	CopyTTL time.Duration
	// EventTokens is the number of tokens that an event of a stream holds; 0: unknown.
	EventTokens int
}

// Organisation is a holder of keys.
type Organisation struct {
	Name     string
	Priority int // overrides the route's priority unless negative
}

// ClientLimits limit what a client may send. Zero means no limit.
type ClientLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration // to send the header of a request
	IdleTime    time.Duration // of a connection between requests
}

// Config is one accepted version of the configuration. It is immutable.
type Config struct {
	Version    uint64
	Services   map[string]Service
	Limits     ClientLimits
	ReadErrors []string                // parts that can't be read, with their places
	Rollouts   map[string]RolloutOrder // the newest order of each service; nil if there is none

	competitions map[string]*Competition // by service; see Competition

	routes  int
	targets []string                 // services that routes lead to, without duplicates
	byHost  map[string][]*Route      // by host in lower case; longest prefix first
	byKey   map[string]*Organisation // nil without organisations
}

// KeyedOrganisation is an organisation with its keys.
type KeyedOrganisation struct {
	Organisation
	Keys []string
}

// New returns a Config with indexes for the lookups that each request needs.
func New(version uint64, routes []Route, services []Service, organisations []KeyedOrganisation, limits ClientLimits) *Config {
	c := &Config{
		Version: version, Limits: limits, routes: len(routes),
		Services: make(map[string]Service, len(services)),
		byHost:   map[string][]*Route{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	c.targets = targetsOf(routes)
	c.competitions = findCompetitions(routes, organisations)
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

func (c *Config) indexKeys(organisations []KeyedOrganisation) {
	if len(organisations) == 0 {
		return
	}
	c.byKey = map[string]*Organisation{}
	for _, o := range organisations {
		owner := o.Organisation
		for _, key := range o.Keys {
			if key != "" { // it would match requests without a key
				c.byKey[key] = &owner
			}
		}
	}
}

// AnyTarget reports whether any route leads to a service that satisfies passes.
func (c *Config) AnyTarget(passes func(service string) bool) bool {
	for _, service := range c.targets {
		if passes(service) {
			return true
		}
	}
	return false
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return c.routes }

// Match returns the route of host with the longest prefix of path, or nil. A host with a
// port that no route names gets the routes of the host without the port.
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

// RequiresKeys reports whether the configuration has organisations, so that requests need
// the key of one of them unless their route is public.
func (c *Config) RequiresKeys() bool { return c.byKey != nil }

// Owner returns the organisation that holds a key, or nil.
func (c *Config) Owner(key string) *Organisation { return c.byKey[key] }
