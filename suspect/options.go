package suspect

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// Options of a Ledger; only the zero values of Limit, Quarantine, Window, Max
// and Now are replaced by defaults.
type Options struct {
	Self       types.ProcessID // who this is, as holder of a grant
	Limit      int             // distinct deaths before quarantine
	Quarantine time.Duration   // length of the first quarantine
	Window     time.Duration   // how long a death counts
	// Probation is how long a suspect must run on an engine before another
	// suspect may join it there; 0 means that none may while it runs.
	Probation time.Duration
	Max       int           // fingerprints kept
	Table     backing.Table // nil: suspicions are not persisted
	// OnQuarantine is told of each quarantine learned, so that a copy that
	// still runs can be cancelled before it costs another engine.
	OnQuarantine func(types.Fingerprint, Verdict)
	Recorder     *event.Recorder
	Registerer   prometheus.Registerer
	Now          func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Limit <= 0 {
		o.Limit = DefaultLimit
	}
	if o.Quarantine <= 0 {
		o.Quarantine = DefaultQuarantine
	}
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.Max <= 0 {
		o.Max = DefaultMax
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Recorder == nil {
		o.Recorder = event.Discard()
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	return o
}
