package memberbench

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/membership"
	"github.com/pearyard/pearyard/types"
)

const (
	// packetHeader is the size of an IPv4 header and a TCP header with timestamps.
	packetHeader = 52
	// packetsPerSegment counts a segment and, in the worst case, a separate
	// acknowledgement.
	packetsPerSegment = 2
	// packetsPerConnection counts three packets to open and four to close a
	// connection.
	packetsPerConnection = 7
	// propagationTimeout is how long a change may take until all members know it.
	propagationTimeout = time.Minute
	// startTimeout is how long a site may take until all members know each other.
	startTimeout = 3 * time.Minute
	// settleTimeout limits the wait after a mass start until no member has changes
	// left to send: each change is retransmitted for a while.
	settleTimeout = 90 * time.Second
	// dumpInterval is the time between two checks during that wait.
	dumpInterval = 2 * time.Second
)

// Options configures a benchmark run.
type Options struct {
	Sizes  []int         // members of each site
	Window time.Duration // duration of the measurement of an idle site
	Rounds int           // deaths, stops and revisions per site
}

// Times are propagation times in seconds: how long it took until all living
// members knew of a change.
type Times struct {
	Median  float64   `json:"median_s"`
	Worst   float64   `json:"worst_s"`
	Samples []float64 `json:"samples_s"`
}

// Result holds the measurements of one site.
type Result struct {
	Members int `json:"members"`
	// StartSeconds is the time from the first member's start until all members
	// know each other.
	StartSeconds float64 `json:"start_s"`
	// BytesPerSecond is what a member of an idle site sends, including HTTP
	// headers; it receives as much.
	BytesPerSecond float64 `json:"sent_bytes_per_s"`
	// WireBytesPerSecond adds TCP and IP headers, acknowledgements and connection
	// setup, estimated from the constants of this package.
	WireBytesPerSecond float64 `json:"sent_wire_bytes_per_s_estimated"`
	// CPUPercent is a member's share of one core, for both sides of its calls.
	CPUPercent float64 `json:"cpu_percent_of_core"`
	// ConnectionsPerSecond is the number of connections that a member opens.
	ConnectionsPerSecond float64 `json:"connections_per_s"`
	// StartBytes is what a member sent and received on average until all members
	// knew each other.
	StartBytes float64 `json:"start_bytes"`
	// Refutations counts the false suspicions that members refuted until all knew
	// each other, summed over all members.
	Refutations int `json:"start_refutations"`
	// TotalRefutations also includes later ones; none of them is due to an
	// injected fault.
	TotalRefutations int `json:"refutations"`
	// Pending is the average number of changes that a member still had to send
	// after settling.
	Pending   float64 `json:"pending_before_window"`
	NoNewWork Times   `json:"death_no_new_work"` // until no member considers the dead one alive
	Death     Times   `json:"death_known"`
	Leaving   Times   `json:"leaving_known"`
	Revision  Times   `json:"revision_known"`
}

// Run measures each size in turn and passes the results to report.
func Run(ctx context.Context, opts Options, report func(Result)) error {
	for _, size := range opts.Sizes {
		r, err := measure(ctx, size, opts)
		if err != nil {
			return errors.Wrapf(err, "%d members", size)
		}
		report(r)
	}
	return nil
}

func measure(ctx context.Context, size int, opts Options) (Result, error) {
	r := Result{Members: size}
	begin := time.Now()
	s, err := startSite(size, startTimeout)
	defer s.stop()
	if err != nil {
		return r, err
	}
	r.StartSeconds = time.Since(begin).Seconds()
	r.Refutations, _ = s.totals()
	r.StartBytes = 2 * float64(s.traffic.bytes.Load()) / float64(size)
	settle(ctx, s)
	_, pending := s.totals()
	r.Pending = float64(pending) / float64(size)
	if err := measureIdle(ctx, s, opts.Window, &r); err != nil {
		return r, err
	}
	err = measurePropagation(ctx, s, opts.Rounds, &r)
	r.TotalRefutations, _ = s.totals()
	return r, err
}

// settle waits, up to settleTimeout, until no member has changes left to send.
func settle(ctx context.Context, s *site) {
	// A dump copies the whole list; taking it often would itself load the site.
	_, _ = s.poll(dumpInterval, settleTimeout, s.processes, func(p *process) bool {
		d, ok := p.Dump().(membership.Dump)
		return ok && d.Pending == 0 || ctx.Err() != nil
	})
}

// totals returns the sums of refuted suspicions and of pending changes over all
// members.
func (s *site) totals() (refuted, pending int) {
	for _, p := range s.processes {
		d, ok := p.Dump().(membership.Dump)
		if !ok {
			continue
		}
		pending += d.Pending
		for _, m := range d.Members {
			if m.ID == p.id {
				refuted += int(m.Counter)
			}
		}
	}
	return refuted, pending
}

func measureIdle(ctx context.Context, s *site, window time.Duration, r *Result) error {
	bytes, segments, connections := s.traffic.bytes.Load(), s.traffic.segments.Load(), s.traffic.connections.Load()
	cpu := cpuTime()
	begin := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(window):
	}
	perMemberSecond := 1 / time.Since(begin).Seconds() / float64(r.Members)
	r.CPUPercent = 100 * (cpuTime() - cpu).Seconds() * perMemberSecond
	r.BytesPerSecond = float64(s.traffic.bytes.Load()-bytes) * perMemberSecond
	r.ConnectionsPerSecond = float64(s.traffic.connections.Load()-connections) * perMemberSecond
	packets := packetsPerSegment*float64(s.traffic.segments.Load()-segments)*perMemberSecond +
		packetsPerConnection*r.ConnectionsPerSecond
	r.WireBytesPerSecond = r.BytesPerSecond + packetHeader*packets
	return nil
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measurePropagation measures how long deaths, stops and revisions take to become
// known, one after another.
func measurePropagation(ctx context.Context, s *site, rounds int, r *Result) error {
	for round := range rounds {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := s.measureRevision(uint64(round+1), &r.Revision); err != nil {
			return err
		}
		// The member that leaves and the one that dies have adjacent numbers, but
		// are not adjacent on the hash ring.
		if err := s.measureLeaving(ctx, s.processes[len(s.processes)-1-2*round], &r.Leaving); err != nil {
			return err
		}
		if err := s.measureDeath(s.processes[len(s.processes)-2-2*round], r); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) measureRevision(revision uint64, times *Times) error {
	first := s.processes[len(s.processes)/2]
	first.revision.Store(revision)
	first.AnnounceRevision()
	took, err := s.wait(propagationTimeout, s.alive(), func(p *process) bool { return p.revision.Load() >= revision })
	times.add(took)
	return errors.Wrap(err, "wait until the revision is known")
}

func (s *site) measureLeaving(ctx context.Context, p *process, times *Times) error {
	begin := time.Now()
	if err := p.Leave(ctx); err != nil {
		return errors.Wrapf(err, "%s: announce leaving", p.id)
	}
	_, err := s.wait(propagationTimeout, s.alive(), hasState(p.id, membership.StateLeaving))
	times.add(time.Since(begin))
	return errors.Wrap(err, "wait until leaving is known")
}

func (s *site) measureDeath(p *process, r *Result) error {
	p.kill()
	excluded, err := s.wait(propagationTimeout, s.alive(), func(other *process) bool {
		return !hasState(p.id, membership.StateAlive)(other)
	})
	if err != nil {
		return errors.Wrap(err, "wait until the dead member gets no new work")
	}
	dead, err := s.wait(propagationTimeout, s.alive(), hasState(p.id, membership.StateDead))
	r.NoNewWork.add(excluded)
	r.Death.add(excluded + dead)
	return errors.Wrap(err, "wait until the death is known")
}

func hasState(id types.ProcessID, state membership.State) func(*process) bool {
	return func(p *process) bool {
		m, ok := p.Snapshot().ByID(id)
		return ok && m.State == state
	}
}
