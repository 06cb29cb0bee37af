package membership

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// Defaults of Options.
const (
	// DefaultPeriod is the time between two probe rounds of one member.
	DefaultPeriod = time.Second
	// DefaultProbeTimeout is the timeout of a direct probe; an indirect one gets
	// twice that.
	DefaultProbeTimeout = 300 * time.Millisecond
	// DefaultSuspectTimeout is how long a suspect member has to refute the
	// suspicion.
	DefaultSuspectTimeout = 2 * time.Second
	// DefaultVMListLag is how far the platform's VM list may lag.
	DefaultVMListLag = 30 * time.Second
)

// HTTPClient sends the calls to other members; package peer's client adds its
// headers to them.
type HTTPClient interface {
	Do(req *http.Request) (*http.Response, error)
}

// Options configures a Membership. Self, HTTPClient and Recorder are required.
type Options struct {
	Self       Member         // this process; State is ignored, Revision comes from Revision
	Seeds      []string       // addresses (IP:port) from the settings; the own address is skipped
	VMList     backing.VMList // nil: none
	HTTPClient HTTPClient
	Recorder   *event.Recorder
	Registerer prometheus.Registerer // nil: metrics are kept but not registered

	Period         time.Duration // 0: DefaultPeriod
	ProbeTimeout   time.Duration // 0: DefaultProbeTimeout
	SuspectTimeout time.Duration // 0: DefaultSuspectTimeout
	VMListLag      time.Duration // 0: DefaultVMListLag

	// VMPorts are the ports to try at a VM list address that has none; if empty,
	// the port of Self.Address.
	VMPorts []string

	// Revision returns the configuration revision that this process has in force;
	// nil: 0.
	Revision func() types.Revision
	// OnRevision is called when a member reports a later revision than Revision
	// returns. It must not block. It may be called repeatedly for one revision and
	// from several goroutines.
	OnRevision func(addr string, rev types.Revision)
}

// ErrBadOptions reports invalid options.
var ErrBadOptions = errors.New("membership: invalid options")

func (o *Options) complete() error {
	if o.Self.ID == "" || o.Self.Incarnation == 0 {
		return errors.Wrap(ErrBadOptions, "Self needs an ID and an incarnation")
	}
	_, port, err := net.SplitHostPort(o.Self.Address)
	if err != nil {
		return errors.Wrapf(ErrBadOptions, "Self.Address: %v", err)
	}
	if o.HTTPClient == nil || o.Recorder == nil {
		return errors.Wrap(ErrBadOptions, "HTTPClient and Recorder are required")
	}
	if len(o.VMPorts) == 0 {
		o.VMPorts = []string{port}
	}
	setDefault(&o.Period, DefaultPeriod)
	setDefault(&o.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&o.SuspectTimeout, DefaultSuspectTimeout)
	setDefault(&o.VMListLag, DefaultVMListLag)
	if o.Revision == nil {
		o.Revision = func() types.Revision { return 0 }
	}
	if o.OnRevision == nil {
		o.OnRevision = func(string, types.Revision) {}
	}
	return nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
