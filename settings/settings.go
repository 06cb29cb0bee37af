package settings

import (
	"time"

	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

// Defaults of optional settings.
const (
	DefaultEventRing         = 4096
	DefaultRouterPollSeconds = 1
	// DefaultSidecarPollSeconds is long because there are many sidecars, and stamps
	// announce a newer configuration to them before a poll does.
	DefaultSidecarPollSeconds = 20
	DefaultStaleAfterSeconds  = 4
	DefaultVMListLagSeconds   = 30
	DefaultLogLevel           = LogInfo
	DefaultJournalMegabytes   = 64
)

// Log levels.
const (
	LogDebug = "debug"
	LogInfo  = "info"
	LogWarn  = "warn"
	LogError = "error"
)

// Common are the settings that routers and sidecars share. Addresses are
// ip:port. The `usage` tag is the flag's help text; the `secret` tag masks the value.
type Common struct {
	// ID is the name of the process's slot, unchanged by restarts. Required.
	ID types.ProcessID `json:"id" usage:"name of the process's slot, the same over restarts"`
	// Zone is the availability zone of the process's VM. Required.
	Zone types.Zone `json:"zone" usage:"availability zone of the VM"`
	// PeerListen is the address to listen on for other processes. Required.
	PeerListen string `json:"peerListen" usage:"ip:port to listen on for other processes"`
	// Advertise is the address under which other processes reach this one;
	// default: PeerListen.
	Advertise string `json:"advertise" usage:"ip:port under which other processes reach this one; default: peerListen"`
	// AdminListen is the address to listen on for the administration API; default: none.
	AdminListen string `json:"adminListen" usage:"ip:port to listen on for administration; empty: none"`
	// AdminToken is the bearer token of the administration API. Required with AdminListen.
	AdminToken string `json:"adminToken" usage:"bearer token of the administration API" secret:"true"`
	// Table is the address of the platform's table service. Required.
	Table string `json:"table" usage:"ip:port of the table service"`
	// Objects is the address of the platform's object store. Required.
	Objects string `json:"objects" usage:"ip:port of the object store"`
	// VMList is the address of the platform's VM list; default: none.
	VMList string `json:"vmList" usage:"ip:port of the platform's VM list; empty: none"`
	// Weights is the address of the platform's weight store; default: none.
	Weights string `json:"weights" usage:"ip:port of the weight store; empty: none"`
	// Seeds are peers to contact at startup; default: none.
	Seeds []string `json:"seeds" usage:"comma-separated ip:port of peers to ask at the start"`
	// EventRing is the number of events kept in memory; default 4096.
	EventRing int `json:"eventRing" usage:"events kept in memory"`
	// PollSeconds is the time between polls of the table service for a newer
	// configuration; default 1 for a router, 20 for a sidecar.
	PollSeconds int `json:"pollSeconds" usage:"seconds between polls for a newer text"`
	// VMListLagSeconds is how far the platform's VM list may lag; default 30. For that
	// long, the list may still show as leaving a VM that was replaced at the same
	// address, so its mark is ignored for a process that has run for less.
	VMListLagSeconds int `json:"vmListLagSeconds" usage:"seconds that the VM list may lag; its leaving mark counts for a process that has run for longer"`
	// StaleAfterSeconds is the age of the configuration's last confirmation above
	// which new work is refused; 0 never refuses; default 4.
	StaleAfterSeconds int `json:"staleAfterSeconds" usage:"seconds without confirmation of the text until new work is refused; 0: never"`
	// DrainSeconds bounds how long a planned stop waits for requests in flight;
	// 0, the default, sets no bound.
	DrainSeconds int `json:"drainSeconds" usage:"seconds that a planned stop waits for requests in flight; 0: without bound"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `json:"logLevel" usage:"debug, info, warn or error"`
}

// Router are the settings of a router.
type Router struct {
	Common
	// Listen is the address to listen on for callers. Required.
	Listen string `json:"listen" usage:"ip:port to listen on for callers"`
	// Policy is the routing policy; default: the router's default policy.
	Policy string `json:"policy" usage:"routing policy; empty: the default one"`
}

// Sidecar are the settings of a sidecar.
type Sidecar struct {
	Common
	// BackendServer is the name of the backend server next to the sidecar, as in the
	// configuration. Required.
	BackendServer string `json:"backendServer" usage:"name of the backend server, as in the text"`
	// Service is the service of the backend server, as in the configuration. Required.
	Service string `json:"service" usage:"name of the service, as in the text"`
	// Kind is model or plain. Required.
	Kind text.Kind `json:"kind" usage:"kind of the service: model or plain"`
	// Backend is the backend server's address, on the loopback interface. Required.
	Backend string `json:"backend" usage:"loopback ip:port of the backend server"`
	// JournalMegabytes bounds the memory for other sidecars' journals, in MiB; default 64.
	JournalMegabytes int `json:"journalMegabytes" usage:"MiB of memory for journals kept for other sidecars"`
}

func defaultCommon(pollSeconds int) Common {
	return Common{EventRing: DefaultEventRing, PollSeconds: pollSeconds,
		StaleAfterSeconds: DefaultStaleAfterSeconds, VMListLagSeconds: DefaultVMListLagSeconds, LogLevel: DefaultLogLevel}
}

// DefaultRouter returns a router's settings with their defaults.
func DefaultRouter() Router { return Router{Common: defaultCommon(DefaultRouterPollSeconds)} }

// DefaultSidecar returns a sidecar's settings with their defaults.
func DefaultSidecar() Sidecar {
	return Sidecar{Common: defaultCommon(DefaultSidecarPollSeconds), JournalMegabytes: DefaultJournalMegabytes}
}

// Poll returns PollSeconds as a duration.
func (c Common) Poll() time.Duration { return time.Duration(c.PollSeconds) * time.Second }

// VMListLag returns VMListLagSeconds as a duration.
func (c Common) VMListLag() time.Duration { return time.Duration(c.VMListLagSeconds) * time.Second }

// StaleAfter returns StaleAfterSeconds as a duration.
func (c Common) StaleAfter() time.Duration { return time.Duration(c.StaleAfterSeconds) * time.Second }

// Drain returns DrainSeconds as a duration.
func (c Common) Drain() time.Duration { return time.Duration(c.DrainSeconds) * time.Second }

// AdvertiseAddress returns the address that others are told.
func (c Common) AdvertiseAddress() string {
	if c.Advertise != "" {
		return c.Advertise
	}
	return c.PeerListen
}

// Validator is a set of settings that can validate itself.
type Validator interface {
	Validate() findings.List
}
