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
	// DefaultPeriod is the time between two probes by one member.
	DefaultPeriod = time.Second
	// DefaultProbeTimeout bounds a direct probe; an indirect one gets twice that.
	DefaultProbeTimeout = 300 * time.Millisecond
	// DefaultSuspectTimeout is how long a suspect may take to refute.
	DefaultSuspectTimeout = 2 * time.Second
	// DefaultVMListLag is how far the platform's VM list may lag.
	DefaultVMListLag = 30 * time.Second
)

// HTTPClient sends the calls to other members; package peer's client stamps them.
type HTTPClient interface {
	Do(req *http.Request) (*http.Response, error)
}

// Options configures a Membership. Self, HTTPClient and Recorder are required.
type Options struct {
	Self       Member         // this process; State is ignored, Revision comes from Revision
	Seeds      []string       // addresses (IP:port) from the settings; own address is skipped
	VMList     backing.VMList // nil: none
	HTTPClient HTTPClient
	Recorder   *event.Recorder
	Registerer prometheus.Registerer // nil: metrics are kept but not registered

	Period         time.Duration // 0: DefaultPeriod
	ProbeTimeout   time.Duration // 0: DefaultProbeTimeout
	SuspectTimeout time.Duration // 0: DefaultSuspectTimeout
	VMListLag      time.Duration // 0: DefaultVMListLag

	// VMPorts are the ports tried at an address of the VM list that has none;
	// empty: the port of Self.Address.
	VMPorts []string

	// Revision returns the revision that this process has in force; nil: 0.
	Revision func() types.Revision
	// OnRevision is called when a member shows a higher revision than
	// Revision's. It must not block; it may be called often for one revision
	// and from several goroutines.
	OnRevision func(addr string, rev types.Revision)
}

// ErrBadOptions reports options that a Membership can't run with.
var ErrBadOptions = errors.New("membership: bad options")

func (o *Options) complete() error {
	if o.Self.ID == "" || o.Self.Incarnation == 0 {
		return errors.Wrap(ErrBadOptions, "self needs an id and an incarnation")
	}
	_, port, err := net.SplitHostPort(o.Self.Address)
	if err != nil {
		return errors.Wrapf(ErrBadOptions, "address of self: %v", err)
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
