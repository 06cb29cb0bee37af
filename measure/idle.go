package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pearyard/pearyard/text"
)

// IdleResult is the traffic and resource use of the processes of a site without requests.
type IdleResult struct {
	Processes int     `json:"processes"`
	Bytes     Spread  `json:"bytes_per_second"`    // through the peer listener of one sidecar, in both directions, with HTTP headers
	Core      Spread  `json:"core_percent"`        // CPU time of one sidecar
	Memory    Spread  `json:"megabytes"`           // resident memory of one sidecar
	Router    float64 `json:"router_core_percent"` // CPU time of the first router
	Machine   Machine `json:"machine"`
}

// String returns the result as one line.
func (r IdleResult) String() string {
	return fmt.Sprintf("idle, %d processes: a sidecar %.0f B/s [%.0f..%.0f], %.2f%% of a core [%.2f..%.2f], %.0f MB; a router %.2f%% of a core, load %s",
		r.Processes, r.Bytes.Median, r.Bytes.Min, r.Bytes.Max, r.Core.Median, r.Core.Min, r.Core.Max, r.Memory.Median, r.Router, r.Machine.Load)
}

const (
	idleSettle   = 5 * time.Second  // for the traffic of the start to end
	idleDuration = 20 * time.Second // of the measurement
)

// Idle measures a site with the given number of engines and two routers, without requests.
func Idle(ctx context.Context, bin string, engines int, progress io.Writer) (IdleResult, error) {
	opts := siteOptions{bin: bin, engines: engines, routers: 2, relays: true, times: DefaultResume().Times, recovery: text.DefaultRecovery()}
	s, err := startSite(ctx, opts)
	if err != nil {
		return IdleResult{}, err
	}
	defer s.stop()
	time.Sleep(idleSettle)
	before := s.idleUsages()
	time.Sleep(idleDuration)
	after := s.idleUsages()
	var bytes, core, memory []float64
	for i := range s.backends {
		bytes = append(bytes, float64(after[i].relayed-before[i].relayed)/idleDuration.Seconds())
		core = append(core, 100*(after[i].cpu-before[i].cpu).Seconds()/idleDuration.Seconds())
		memory = append(memory, float64(after[i].rss)/(1<<20))
	}
	last := len(s.backends)
	result := IdleResult{Processes: engines + 2, Bytes: spreadOf(bytes), Core: spreadOf(core), Memory: spreadOf(memory),
		Router: 100 * (after[last].cpu - before[last].cpu).Seconds() / idleDuration.Seconds(), Machine: machine()}
	fmt.Fprintln(progress, result)
	return result, nil
}

// idleUsage is the resource use of one process and the traffic through its relay so far.
type idleUsage struct {
	usage
	relayed int64 // bytes in both directions; 0 for a router, which has no relay
}

// idleUsages returns the usage of each sidecar and, last, of the first router.
func (s *site) idleUsages() []idleUsage {
	var out []idleUsage
	for _, b := range s.backends {
		out = append(out, idleUsage{usage: usageOf(b.sidecar), relayed: b.relay.relayedBytes.Load()})
	}
	return append(out, idleUsage{usage: usageOf(s.routers[0])})
}
