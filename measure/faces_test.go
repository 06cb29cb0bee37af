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

// What both faces of pearyard are given to do: router and sidecar, and the entry
// program on the platform, each over the stand-ins of its own outside.
//
//	go test ./measure -run '^$' -bench Faces -benchtime 1x
const (
	facesServers = 6
	facesFronts  = 2 // routers or entry VMs
	facesRuns    = 5

	lossCalls  = 36
	lossTokens = 250
	lossStep   = 8 * time.Millisecond
	lossAt     = time.Second
	lossRamp   = 300 * time.Millisecond

	passCalls  = 200
	passTokens = 150
	passStep   = 40 * time.Millisecond
)

// ioUse is what a process has read and written so far, sockets and log; datagrams are not in it.
type ioUse struct{ bytes, calls float64 }

func ioOf(processes ...*process) (out ioUse) {
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

func (u ioUse) since(before ioUse) ioUse {
	return ioUse{u.bytes - before.bytes, u.calls - before.calls}
}

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

func startSecond(t testing.TB, step time.Duration) (*site, []*ownEngine) {
	t.Helper()
	var own []*ownEngine
	for range facesServers {
		e, err := startOwnEngine(standin.EngineOptions{StepBase: step, PrefillPerToken: DefaultResume().Times.Prefill, Capacity: ownCapacity})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = e.server.Close() })
		own = append(own, e)
	}
	s, err := startSite(t.Context(), siteOptions{engines: facesServers, routers: facesFronts, own: own, recovery: text.DefaultRecovery()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	return s, own
}

func startPlatform(t testing.TB, length int, gap time.Duration, copies bool) *entrySite {
	t.Helper()
	s, err := startEntries(t.TempDir(), entryOptions{servers: facesServers, entries: facesFronts, length: length, gap: gap, copies: copies})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	return s
}

// A backend server dies under 36 streams; the time until each of its callers has
// the next token.
func BenchmarkFacesResume(b *testing.B) {
	b.Run("router and sidecar", func(b *testing.B) {
		tellResume(b, func(run int) ([]time.Duration, int) { return loseSecond(b, run) })
	})
	for _, copies := range []bool{true, false} {
		b.Run(fmt.Sprintf("entry, copies %t", copies), func(b *testing.B) {
			tellResume(b, func(run int) ([]time.Duration, int) {
				s := startPlatform(b, lossTokens, lossStep, copies)
				defer s.stop()
				return s.lose(b.Context(), run)
			})
		})
	}
}

// tellResume logs the waits of all runs together.
func tellResume(b *testing.B, lose func(run int) ([]time.Duration, int)) {
	b.Helper()
	var all []time.Duration
	broken := 0
	for run := range facesRuns {
		hits, faults := lose(run)
		all = append(all, hits...)
		broken += faults
	}
	b.Logf("hit %d, not whole %d, %+v, load %s", len(all), broken, quantilesOf(all), machine().Load)
}

func loseSecond(t testing.TB, run int) (hits []time.Duration, broken int) {
	s, own := startSecond(t, lossStep)
	defer s.stop()
	load := startLoad(t.Context(), s.callers(), loadOptions{Calls: lossCalls, Tokens: lossTokens, PromptWords: 200, Ramp: lossRamp, Seed: uint64(run + 1)})
	time.Sleep(lossAt)
	struck := time.Now()
	_ = own[run].server.Close()
	for _, c := range load.join() {
		if c.whole() != nil {
			broken++
		}
		if g, hit := c.after(struck); hit {
			hits = append(hits, g.afterLoss)
		}
	}
	return hits, broken
}

// lose crashes a server under streams and returns how long each that it ran waited.
func (s *entrySite) lose(ctx context.Context, which int) (hits []time.Duration, broken int) {
	var wait sync.WaitGroup
	calls := startCalls(ctx, &wait, fmt.Sprintf("loss%d", which), s.callers, lossCalls, lossTokens, lossRamp)
	time.Sleep(lossAt)
	struck := time.Now()
	s.servers[which].Crash()
	wait.Wait()
	lost := s.servers[which].ID()
	onLost := map[string]bool{}
	for _, run := range s.cloud.Ledger.Runs() {
		if run.Server == lost {
			onLost[run.Request] = true
		}
	}
	again := map[string]int{} // event after which a lost stream went on
	for _, run := range s.cloud.Ledger.Runs() {
		if run.Server != lost && onLost[run.Request] && run.At.After(struck) {
			again[run.Request] = run.ResumedAfter
		}
	}
	for _, c := range calls {
		if c.fault != "" {
			broken++
			fmt.Println("not whole:", c.id, c.fault)
		}
		if after, hit := again[c.id]; hit && after < len(c.arrivals) {
			hits = append(hits, c.arrivals[after].Sub(struck))
		}
	}
	return hits, broken
}

// facesPass is what one round of undisturbed streams cost.
type facesPass struct {
	routed, direct Quantiles
	tokens         int
	broken         int
	front, beside  time.Duration // processor time of routers or entries, and of sidecars
	use            ioUse
}

func (p facesPass) String() string {
	perToken := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(max(p.tokens, 1)) }
	front, all := perToken(p.front), perToken(p.front+p.beside)
	return fmt.Sprintf("tokens %d, not whole %d, routed p50 %.3f p99 %.3f ms, direct p50 %.3f p99 %.3f, added p50 %.3f p99 %.3f; "+
		"front %.1f us/token, all %.1f us/token, two cores of fronts carry %.0f tokens/s, two cores of all %.0f; %.0f B and %.2f reads and writes a token; load %s",
		p.tokens, p.broken, p.routed.P50, p.routed.P99, p.direct.P50, p.direct.P99, p.routed.P50-p.direct.P50, p.routed.P99-p.direct.P99,
		front, all, 2e6/front, 2e6/all, p.use.bytes/float64(p.tokens), p.use.calls/float64(p.tokens), machine().Load)
}

// 200 undisturbed streams; what the way through pearyard adds to a token over the
// way from the backend server direct, and what a token costs.
func BenchmarkFacesPass(b *testing.B) {
	for run := range 3 {
		b.Run(fmt.Sprintf("router and sidecar %d", run), func(b *testing.B) { b.Log(passSecond(b)) })
		b.Run(fmt.Sprintf("entry with copies %d", run), func(b *testing.B) { b.Log(passPlatform(b)) })
	}
}

func passSecond(t testing.TB) facesPass {
	s, own := startSecond(t, passStep)
	var wait sync.WaitGroup
	direct := startDirect(t.Context(), &wait, own, passCalls, passTokens)
	wait.Wait()
	use, front, beside := ioOf(append(s.sidecars(), s.routers...)...), cpuOf(s.routers...), cpuOf(s.sidecars()...)
	load := startLoad(t.Context(), s.callers(), loadOptions{Calls: passCalls, Tokens: passTokens, PromptWords: 40, Ramp: 5 * passStep, Seed: 1})
	calls := load.join()
	out := facesPass{front: cpuOf(s.routers...) - front, beside: cpuOf(s.sidecars()...) - beside, use: ioOf(append(s.sidecars(), s.routers...)...).since(use)}
	var routed, straight []time.Duration
	for _, c := range calls {
		if c.whole() != nil {
			out.broken++
			continue
		}
		out.tokens += len(c.arrivals)
		routed = append(routed, delays(own, c.requestID, c.times())...)
	}
	for _, c := range direct {
		straight = append(straight, delays(own, c.id, c.arrivals)...)
	}
	out.routed, out.direct = quantilesOf(routed), quantilesOf(straight)
	return out
}

func passPlatform(t testing.TB) facesPass {
	s := startPlatform(t, passTokens, passStep, true)
	var wait sync.WaitGroup
	var servers []string
	for _, server := range s.servers {
		servers = append(servers, server.Address)
	}
	direct := startCalls(t.Context(), &wait, "direct", servers, passCalls, passTokens, 5*passStep)
	wait.Wait()
	use, front := ioOf(s.entries...), cpuOf(s.entries...)
	calls := startCalls(t.Context(), &wait, "routed", s.callers, passCalls, passTokens, 5*passStep)
	wait.Wait()
	out := facesPass{front: cpuOf(s.entries...) - front, use: ioOf(s.entries...).since(use)}
	var routed, straight []time.Duration
	for _, c := range calls {
		if c.fault != "" {
			out.broken++
			fmt.Println("not whole:", c.id, c.fault)
			continue
		}
		out.tokens += len(c.arrivals)
		routed = append(routed, s.delays(c)...)
	}
	for _, c := range direct {
		straight = append(straight, s.delays(c)...)
	}
	out.routed, out.direct = quantilesOf(routed), quantilesOf(straight)
	return out
}

// Sites without requests: what the processes of each face tell each other.
func BenchmarkFacesIdle(b *testing.B) {
	b.Run("router and sidecar", func(b *testing.B) {
		s, _ := startSecond(b, lossStep)
		all := append(s.sidecars(), s.routers...)
		time.Sleep(idleSettle)
		before, cpu := ioOf(all...), cpuOf(all...)
		time.Sleep(idleTime)
		tellIdle(b, all, ioOf(all...).since(before), cpuOf(all...)-cpu)
	})
	b.Run("entry", func(b *testing.B) {
		s := startPlatform(b, lossTokens, lossStep, true)
		heard := s.listen(b)
		time.Sleep(idleSettle)
		before, cpu, sent, got := ioOf(s.entries...), cpuOf(s.entries...), s.metric("pearyard_fleet_datagrams_sent_total"), heard.take()
		calls := s.metric("pearyard_store_calls_total")
		time.Sleep(idleTime)
		tellIdle(b, s.entries, ioOf(s.entries...).since(before), cpuOf(s.entries...)-cpu)
		now := heard.take()
		b.Logf("a process sends %.1f datagrams/s; a peer hears %.1f/s of %.0f B each; %.2f calls/s of the store",
			(s.metric("pearyard_fleet_datagrams_sent_total")-sent)/idleTime.Seconds()/facesFronts,
			(now.count-got.count)/idleTime.Seconds(), (now.bytes-got.bytes)/max(1, now.count-got.count),
			(s.metric("pearyard_store_calls_total")-calls)/idleTime.Seconds()/facesFronts)
	})
}

func tellIdle(t testing.TB, all []*process, use ioUse, cpu time.Duration) {
	n := float64(len(all)) * idleTime.Seconds()
	t.Logf("idle, %d processes: each %.0f B/s and %.1f reads and writes/s, %.2f%% of a core, all %.0f B/s; load %s",
		len(all), use.bytes/n, use.calls/n, 100*cpu.Seconds()/n, use.bytes/idleTime.Seconds(), machine().Load)
}

// metric sums up a metric over all entries.
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

// heardSoFar counts datagrams that came to a listener in the place of a further entry VM.
type heardSoFar struct{ count, bytes float64 }

type ear struct{ count, bytes atomic.Int64 }

func (e *ear) take() heardSoFar {
	return heardSoFar{float64(e.count.Load()), float64(e.bytes.Load())}
}

// listen registers a further entry VM that only listens.
func (s *entrySite) listen(t testing.TB) *ear {
	t.Helper()
	conn, err := net.ListenPacket("udp4", entryNet+"99:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	s.store.Put("entry_vms", "edge-99", []byte(conn.LocalAddr().String()))
	e := &ear{}
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			e.count.Add(1)
			e.bytes.Add(int64(n))
		}
	}()
	return e
}
