package suspect

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// Options configures a Ledger. Zero values of Limit, Quarantine, Window, Max,
// Recorder, Registerer and Now are replaced by defaults.
type Options struct {
	Self       types.ProcessID // id of this process; not used at present
	Limit      int             // distinct deaths that cause a quarantine; see LedgerLimit
	Quarantine time.Duration   // length of the first quarantine
	Window     time.Duration   // how long a death counts
	// Probation is how long a suspect must run on an engine before another
	// suspect may run there too. 0 means that none may until it ends.
	Probation time.Duration
	Max       int           // maximum number of fingerprints
	Table     backing.Table // nil: suspicions aren't persisted
	// QuarantinesOnly is set if only quarantined fingerprints are persisted. After the loss
	// of a zone many requests are suspects for some seconds, and each costs two calls to
	// the table service.
	QuarantinesOnly bool
	// HoldAccused is set if requests are held back that are accused, see Ledger.Accused,
	// instead of those with a death that counts.
	HoldAccused bool
	// Adopts reports whether this process writes the rows again whose owners have ended when
	// the table service came back from a copy; nil: it does not.
	Adopts func() bool
	// OnQuarantine is called for each new or extended quarantine, so that a running copy can
	// be cancelled before it crashes another engine.
	OnQuarantine func(types.Fingerprint, Verdict)
	Recorder     *event.Recorder
	Registerer   prometheus.Registerer
	Now          func() time.Time
}

// withDefaults returns the options with defaults in place of zero values.
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
