package text

import "time"

// Kind is the kind of servers behind a service.
type Kind string

const (
	// KindModel is a service of model engines; its answers are generations.
	KindModel Kind = "model"
	// KindPlain is a service of ordinary HTTP servers.
	KindPlain Kind = "plain"
)

// Calls tells whether a service's calls may be run again.
type Calls string

const (
	// CallsRepeatable marks idempotent calls.
	CallsRepeatable Calls = "repeatable"
	// CallsAtMostOnce marks non-idempotent calls; each runs once or not at all.
	CallsAtMostOnce Calls = "at-most-once"
)

// Config is the operators' configuration with defaults filled in and indexes built.
type Config struct {
	Services      []Service      `json:"services"`
	Models        []Model        `json:"models"`
	Adapters      []Adapter      `json:"adapters"`
	Organisations []Organisation `json:"organisations"`
	Recovery      Recovery       `json:"recovery"`
	Limits        Limits         `json:"limits"`

	index index
}

// Service is one service that callers reach by its name or by a model's name.
type Service struct {
	Name           string          `json:"name"`
	Kind           Kind            `json:"kind"`
	Calls          Calls           `json:"calls"`       // default: repeatable for models, at-most-once for plain services
	DependsOn      []Dependency    `json:"dependsOn"`   // what must be available before the service can serve
	RetryBudget    float64         `json:"retryBudget"` // highest ratio of retries to first attempts, 0 to 1; default 0.1
	BackendServers []BackendServer `json:"backendServers"`
}

// Dependency is one thing that a service needs: exactly one of Model, Adapter
// and Service is set.
type Dependency struct {
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"` // of the model or adapter
	Service string `json:"service,omitempty"`
}

// BackendServer is one server of a service with its sidecar.
type BackendServer struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`          // availability zone
	Sidecar       string `json:"sidecar"`       // ip:port of the sidecar's listener for peers
	ChecksFencing bool   `json:"checksFencing"` // the server refuses orders with an old fencing number
	Capacity      int    `json:"capacity"`      // concurrent requests; 0: as the engine reports

	// Service is the name of the service that the server belongs to.
	Service string `json:"-"`
}

// Model is one version of a model that engines can load.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Adapter is one version of an adapter to a model.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Model   string `json:"model"` // name of the adapted model
}

// Organisation is one customer with its API keys and limits.
type Organisation struct {
	Name      string             `json:"name"`
	KeySHA256 []string           `json:"keySHA256"` // SHA-256 of each API key, 64 lower-case hexadecimal digits
	Weight    int                `json:"weight"`    // share under overload; default 1
	Limits    OrganisationLimits `json:"limits"`
	Priority  int                `json:"priority"` // higher values go first in an engine's queue; default 0
}

// OrganisationLimits limits one organisation's requests; 0 sets no limit.
type OrganisationLimits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	Burst             int     `json:"burst"`      // default: one second's worth, at least 1
	Concurrent        int     `json:"concurrent"` // requests running concurrently
	Queued            int     `json:"queued"`     // requests waiting for admission
}

// Recovery sets the trade-off between resume latency and extra resource use.
type Recovery struct {
	JournalAfterMillis int `json:"journalAfterMillis"` // age from which a generation is journaled; default 2000
	JournalPeers       int `json:"journalPeers"`       // sidecars that keep the journal, 0 for none; default 1
	JournalBatchMillis int `json:"journalBatchMillis"` // longest wait of a token for its batch; default 100
	SilenceMillis      int `json:"silenceMillis"`      // silence of a stream after which it counts as lost; default 1000
	RouterGraceMillis  int `json:"routerGraceMillis"`  // how long an engine continues after it lost its router; default 10000
	RetainMillis       int `json:"retainMillis"`       // how long a finished answer stays fetchable; default 60000
	MaxResumes         int `json:"maxResumes"`         // most resumes of one generation; default 8
	SuspicionLimit     int `json:"suspicionLimit"`     // engine deaths after which a request is quarantined; default 2
	QuarantineSeconds  int `json:"quarantineSeconds"`  // how long a quarantine lasts; default 600
}

// Limits bounds every request.
type Limits struct {
	MaxBodyBytes    int64 `json:"maxBodyBytes"`    // default 8 MiB
	MaxTokens       int   `json:"maxTokens"`       // most tokens of one answer; default 32768
	DeadlineSeconds int   `json:"deadlineSeconds"` // longest run of a request; default 1800
}

// JournalAfter returns JournalAfterMillis as a duration.
func (r Recovery) JournalAfter() time.Duration { return millis(r.JournalAfterMillis) }

// JournalBatch returns JournalBatchMillis as a duration.
func (r Recovery) JournalBatch() time.Duration { return millis(r.JournalBatchMillis) }

// Silence returns SilenceMillis as a duration.
func (r Recovery) Silence() time.Duration { return millis(r.SilenceMillis) }

// RouterGrace returns RouterGraceMillis as a duration.
func (r Recovery) RouterGrace() time.Duration { return millis(r.RouterGraceMillis) }

// Retain returns RetainMillis as a duration.
func (r Recovery) Retain() time.Duration { return millis(r.RetainMillis) }

// Quarantine returns QuarantineSeconds as a duration.
func (r Recovery) Quarantine() time.Duration { return time.Duration(r.QuarantineSeconds) * time.Second }

// Deadline returns DeadlineSeconds as a duration.
func (l Limits) Deadline() time.Duration { return time.Duration(l.DeadlineSeconds) * time.Second }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
