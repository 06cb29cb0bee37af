package measure

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	prommodel "github.com/prometheus/common/model"

	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/text"
)

// Benchmarks that give the same load to both deployments of pearyard (its two faces):
// router and sidecar, and the entry program on the platform, each with stand-ins for its
// environment. They only log results and check none.
//
//	go test ./measure -run '^$' -bench Faces -benchtime 1x
const (
	benchServers   = 6
	benchFrontends = 2 // routers or entry VMs
	benchRuns      = 5 // losses per deployment; each is of another server, so at most benchServers

	// Load and time of a loss. Streams take 2 s, so that all run at that time.
	lossCalls  = 36
	lossTokens = 250
	lossStep   = 8 * time.Millisecond // between two tokens
	lossAt     = time.Second          // after the start of the load
	lossRamp   = 300 * time.Millisecond

	// Load without a loss.
	passCalls  = 200
	passTokens = 150
	passStep   = 40 * time.Millisecond // between two tokens
)

// ioUsage is what a process has read and written so far through sockets and its log,
// without datagrams. calls counts its read and write system calls.
type ioUsage struct{ bytes, calls float64 }

// ioUsageOf adds up the usage of processes, from /proc.
func ioUsageOf(processes ...*process) (out ioUsage) {
	for _, p := range processes {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/io", p.cmd.Process.Pid))
		for line := range strings.Lines(string(raw)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			n, _ := strconv.ParseFloat(value, 64)
			switch name {
			case "rchar", "wchar":
				out.bytes += n
			case "syscr", "syscw":
				out.calls += n
			}
		}
	}
	return out
}

func (u ioUsage) since(before ioUsage) ioUsage {
	return ioUsage{u.bytes - before.bytes, u.calls - before.calls}
}

// cpuOf adds up the CPU time of processes so far.
func cpuOf(processes ...*process) (out time.Duration) {
	for _, p := range processes {
		out += usageOf(p).cpu
	}
	return out
}

func (s *site) sidecars() (out []*process) {
	for _, b := range s.backends {
		out = append(out, b.sidecar)
	}
	return out
}

// startRouterSite starts routers, sidecars and in-process engines.
func startRouterSite(t testing.TB, step time.Duration) (*site, []*inProcessEngine) {
	t.Helper()
	var inProcess []*inProcessEngine
	for range benchServers {
		e, err := startInProcessEngine(standin.EngineOptions{StepBase: step, PrefillPerToken: DefaultResume().Times.Prefill, Capacity: inProcessCapacity})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = e.server.Close() })
		inProcess = append(inProcess, e)
	}
	s, err := startSite(t.Context(), siteOptions{engines: benchServers, routers: benchFrontends, inProcess: inProcess, recovery: text.DefaultRecovery()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	return s, inProcess
}

// startEntrySite starts entry VMs and backend servers.
func startEntrySite(t testing.TB, length int, gap time.Duration, copies bool) *entrySite {
	t.Helper()
	s, err := startEntries(t.TempDir(), entryOptions{servers: benchServers, entries: benchFrontends, length: length, gap: gap, copies: copies})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	return s
}

// Measures, for a backend server that is lost with 36 streams running, the time until
// each of its callers receives the next token.
func BenchmarkFacesResume(b *testing.B) {
	b.Run("router and sidecar", func(b *testing.B) {
		logResume(b, func(run int) ([]time.Duration, int) { return loseRouterSiteServer(b, run) })
	})
	for _, copies := range []bool{true, false} {
		b.Run(fmt.Sprintf("entry, copies %t", copies), func(b *testing.B) {
			logResume(b, func(run int) ([]time.Duration, int) {
				s := startEntrySite(b, lossTokens, lossStep, copies)
				defer s.stop()
				return s.loseServer(b.Context(), run)
			})
		})
	}
}

// logResume calls lose for each run and logs the quantiles over all runs. lose returns the
// resume latencies of the affected calls, and the number of incomplete answers.
func logResume(b *testing.B, lose func(run int) ([]time.Duration, int)) {
	b.Helper()
	var all []time.Duration
	incomplete := 0
	for run := range benchRuns {
		hits, failed := lose(run)
		all = append(all, hits...)
		incomplete += failed
	}
	b.Logf("hit %d, not whole %d, %+v, load %s", len(all), incomplete, quantilesOf(all), machine().Load)
}

// loseRouterSiteServer closes an engine while calls run, and returns how long each call of
// that engine waited for its next token.
func loseRouterSiteServer(t testing.TB, run int) (hits []time.Duration, incomplete int) {
	s, inProcess := startRouterSite(t, lossStep)
	defer s.stop()
	load := startLoad(t.Context(), s.callerAddresses(), loadOptions{Calls: lossCalls, Tokens: lossTokens, PromptWords: 200, Ramp: lossRamp, Seed: uint64(run + 1)})
	time.Sleep(lossAt)
	lostAt := time.Now()
	_ = inProcess[run].server.Close()
	for _, c := range load.join() {
		if c.verify() != nil {
			incomplete++
		}
		if r, hit := c.resumptionAfter(lostAt); hit {
			hits = append(hits, r.afterLoss)
		}
	}
	return hits, incomplete
}

// loseServer crashes a server while streams run and returns how long each stream of that
// server waited for its next event.
func (s *entrySite) loseServer(ctx context.Context, index int) (hits []time.Duration, incomplete int) {
	var wait sync.WaitGroup
	calls := startCalls(ctx, &wait, fmt.Sprintf("loss%d", index), s.callers, lossCalls, lossTokens, lossRamp)
	time.Sleep(lossAt)
	lostAt := time.Now()
	s.servers[index].Crash()
	wait.Wait()
	lost := s.servers[index].ID()
	affected := map[string]bool{}
	for _, run := range s.cloud.Ledger.Runs() {
		if run.Server == lost {
			affected[run.Request] = true
		}
	}
	resumedAfter := map[string]int{} // number of events after which a lost stream was resumed
	for _, run := range s.cloud.Ledger.Runs() {
		if run.Server != lost && affected[run.Request] && run.At.After(lostAt) {
			resumedAfter[run.Request] = run.ResumedAfter
		}
	}
	for _, c := range calls {
		if c.failure != "" {
			incomplete++
			fmt.Println("not whole:", c.id, c.failure)
		}
		if after, hit := resumedAfter[c.id]; hit && after < len(c.arrivals) {
			hits = append(hits, c.arrivals[after].Sub(lostAt))
		}
	}
	return hits, incomplete
}

// passResult is the latency and cost of one round of streams without a loss.
type passResult struct {
	routed, direct     Quantiles // latency of a token through pearyard, and from the server directly
	tokens             int
	incomplete         int
	frontend, sidecars time.Duration // CPU time of routers or entry VMs, and of sidecars
	io                 ioUsage
}

func (p passResult) String() string {
	perToken := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(max(p.tokens, 1)) }
	frontend, all := perToken(p.frontend), perToken(p.frontend+p.sidecars)
	return fmt.Sprintf("tokens %d, not whole %d, routed p50 %.3f p99 %.3f ms, direct p50 %.3f p99 %.3f, added p50 %.3f p99 %.3f; "+
		"front %.1f us/token, all %.1f us/token, two cores of fronts carry %.0f tokens/s, two cores of all %.0f; %.0f B and %.2f reads and writes a token; load %s",
		p.tokens, p.incomplete, p.routed.P50, p.routed.P99, p.direct.P50, p.direct.P99, p.routed.P50-p.direct.P50, p.routed.P99-p.direct.P99,
		frontend, all, 2e6/frontend, 2e6/all, p.io.bytes/float64(p.tokens), p.io.calls/float64(p.tokens), machine().Load)
}

// Measures, with 200 streams and no loss, the latency that pearyard adds to a token
// compared to the backend server directly, and the CPU time per token.
func BenchmarkFacesPass(b *testing.B) {
	for run := range 3 {
		b.Run(fmt.Sprintf("router and sidecar %d", run), func(b *testing.B) { b.Log(passRouterSite(b)) })
		b.Run(fmt.Sprintf("entry with copies %d", run), func(b *testing.B) { b.Log(passEntrySite(b)) })
	}
}

// passRouterSite measures direct calls first, and the same number through routers after them.
func passRouterSite(t testing.TB) passResult {
	s, inProcess := startRouterSite(t, passStep)
	var wait sync.WaitGroup
	direct := startDirect(t.Context(), &wait, inProcess, passCalls, passTokens)
	wait.Wait()
	ioBefore, frontendBefore, sidecarsBefore := ioUsageOf(append(s.sidecars(), s.routers...)...), cpuOf(s.routers...), cpuOf(s.sidecars()...)
	load := startLoad(t.Context(), s.callerAddresses(), loadOptions{Calls: passCalls, Tokens: passTokens, PromptWords: 40, Ramp: 5 * passStep, Seed: 1})
	calls := load.join()
	out := passResult{frontend: cpuOf(s.routers...) - frontendBefore, sidecars: cpuOf(s.sidecars()...) - sidecarsBefore, io: ioUsageOf(append(s.sidecars(), s.routers...)...).since(ioBefore)}
	var routed, directDelays []time.Duration
	for _, c := range calls {
		if c.verify() != nil {
			out.incomplete++
			continue
		}
		out.tokens += len(c.arrivals)
		routed = append(routed, delays(inProcess, c.requestID, c.arrivalTimes())...)
	}
	for _, c := range direct {
		directDelays = append(directDelays, delays(inProcess, c.id, c.arrivals)...)
	}
	out.routed, out.direct = quantilesOf(routed), quantilesOf(directDelays)
	return out
}

// passEntrySite measures direct calls first, and the same number through entry VMs after them.
func passEntrySite(t testing.TB) passResult {
	s := startEntrySite(t, passTokens, passStep, true)
	var wait sync.WaitGroup
	var servers []string
	for _, server := range s.servers {
		servers = append(servers, server.Address)
	}
	direct := startCalls(t.Context(), &wait, "direct", servers, passCalls, passTokens, 5*passStep)
	wait.Wait()
	ioBefore, frontendBefore := ioUsageOf(s.entries...), cpuOf(s.entries...)
	calls := startCalls(t.Context(), &wait, "routed", s.callers, passCalls, passTokens, 5*passStep)
	wait.Wait()
	out := passResult{frontend: cpuOf(s.entries...) - frontendBefore, io: ioUsageOf(s.entries...).since(ioBefore)}
	var routed, directDelays []time.Duration
	for _, c := range calls {
		if c.failure != "" {
			out.incomplete++
			fmt.Println("not whole:", c.id, c.failure)
			continue
		}
		out.tokens += len(c.arrivals)
		routed = append(routed, s.delays(c)...)
	}
	for _, c := range direct {
		directDelays = append(directDelays, s.delays(c)...)
	}
	out.routed, out.direct = quantilesOf(routed), quantilesOf(directDelays)
	return out
}

// Measures the traffic between the processes of each deployment without requests.
func BenchmarkFacesIdle(b *testing.B) {
	b.Run("router and sidecar", func(b *testing.B) {
		s, _ := startRouterSite(b, lossStep)
		all := append(s.sidecars(), s.routers...)
		time.Sleep(idleSettle)
		before, cpu := ioUsageOf(all...), cpuOf(all...)
		time.Sleep(idleDuration)
		logIdle(b, all, ioUsageOf(all...).since(before), cpuOf(all...)-cpu)
	})
	b.Run("entry", func(b *testing.B) {
		s := startEntrySite(b, lossTokens, lossStep, true)
		datagrams := s.listen(b)
		time.Sleep(idleSettle)
		before, cpu, sent, got := ioUsageOf(s.entries...), cpuOf(s.entries...), s.metric("pearyard_fleet_datagrams_sent_total"), datagrams.counts()
		calls := s.metric("pearyard_store_calls_total")
		time.Sleep(idleDuration)
		logIdle(b, s.entries, ioUsageOf(s.entries...).since(before), cpuOf(s.entries...)-cpu)
		now := datagrams.counts()
		b.Logf("a process sends %.1f datagrams/s; a peer hears %.1f/s of %.0f B each; %.2f calls/s of the store",
			(s.metric("pearyard_fleet_datagrams_sent_total")-sent)/idleDuration.Seconds()/benchFrontends,
			(now.count-got.count)/idleDuration.Seconds(), (now.bytes-got.bytes)/max(1, now.count-got.count),
			(s.metric("pearyard_store_calls_total")-calls)/idleDuration.Seconds()/benchFrontends)
	})
}

func logIdle(t testing.TB, all []*process, used ioUsage, cpu time.Duration) {
	n := float64(len(all)) * idleDuration.Seconds()
	t.Logf("idle, %d processes: each %.0f B/s and %.1f reads and writes/s, %.2f%% of a core, all %.0f B/s; load %s",
		len(all), used.bytes/n, used.calls/n, 100*cpu.Seconds()/n, used.bytes/idleDuration.Seconds(), machine().Load)
}

// metric returns the sum of a counter over all entry VMs that respond.
func (s *entrySite) metric(name string) (sum float64) {
	for _, peer := range s.peers {
		resp, err := http.Get("http://" + peer + "/metrics")
		if err != nil {
			continue
		}
		parser := expfmt.NewTextParser(prommodel.UTF8Validation)
		families, err := parser.TextToMetricFamilies(resp.Body)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil || families[name] == nil {
			continue
		}
		for _, m := range families[name].GetMetric() {
			sum += m.GetCounter().GetValue()
		}
	}
	return sum
}

// datagramCount counts the datagrams that a datagramListener has received.
type datagramCount struct{ count, bytes float64 }

// datagramListener receives and counts datagrams in the place of a further entry VM.
type datagramListener struct{ count, bytes atomic.Int64 }

func (l *datagramListener) counts() datagramCount {
	return datagramCount{float64(l.count.Load()), float64(l.bytes.Load())}
}

// listen registers a further entry VM with the store. It only receives datagrams.
func (s *entrySite) listen(t testing.TB) *datagramListener {
	t.Helper()
	conn, err := net.ListenPacket("udp4", entryNet+"99:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	s.store.Put("entry_vms", "edge-99", []byte(conn.LocalAddr().String()))
	l := &datagramListener{}
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			l.count.Add(1)
			l.bytes.Add(int64(n))
		}
	}()
	return l
}
