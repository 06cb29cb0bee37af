package inspect_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/types"
)

var kindTest = event.Define(1998, "inspect_test", event.Info, "A test ran.", "nothing")

func newRegistry(t *testing.T) (*inspect.Registry, *event.Recorder) {
	t.Helper()
	recorder, metrics := event.Discard(), prometheus.NewRegistry()
	r, err := inspect.New(inspect.Options{
		Identity: inspect.Identity{Process: "router-1", Role: types.RoleRouter, Zone: "z1", Incarnation: 7},
		Revision: func() types.Revision { return 42 },
		Recorder: recorder, Gatherer: metrics, Registerer: metrics,
	})
	if err != nil {
		t.Fatal(err)
	}
	return r, recorder
}

func get(t *testing.T, r *inspect.Registry, target string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
	return w
}

// A process deadlocks: a lock of the membership is never released. A dump returns all
// other sections and names the one that hangs, and repeated dumps leave no more than one
// goroutine waiting.
func TestDumpOfADeadlockedProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r, _ := newRegistry(t)
		release, calls := make(chan struct{}), atomic.Int32{}
		r.Add("membership", func() any { calls.Add(1); <-release; return "late" })
		r.Add("limits", func() any { return map[string]int{"in_flight": 3} })
		r.Add("broken", func() any { panic("nil map") })
		began := time.Now()
		state := r.Dump("")
		g.Expect(time.Since(began)).To(gomega.Equal(time.Second))
		g.Expect(state.Truncated).To(gomega.BeTrue())
		g.Expect(state.Sections["limits"].Value).To(gomega.MatchJSON(`{"in_flight": 3}`))
		g.Expect(state.Sections["membership"].Error).To(gomega.ContainSubstring("no snapshot within"))
		g.Expect(state.Sections["broken"].Error).To(gomega.ContainSubstring("nil map"))

		state = r.Dump("membership")
		g.Expect(state.Sections).To(gomega.HaveLen(1))
		g.Expect(state.Sections["membership"].Error).To(gomega.ContainSubstring("has not returned"))
		g.Expect(calls.Load()).To(gomega.BeEquivalentTo(1))
		close(release)
		synctest.Wait()
		g.Expect(r.Dump("membership").Sections["membership"].Value).To(gomega.MatchJSON(`"late"`))
	})
}

func TestDumpIsBoundedAndReportsTruncation(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _ := newRegistry(t)
	r.Add("huge", func() any { return strings.Repeat("h", inspect.MaxSectionBytes+1) })
	for _, name := range strings.Split("abcdefghijkl", "") {
		r.Add(name, func() any { return strings.Repeat(name, inspect.MaxSectionBytes-2) })
	}
	w := get(t, r, inspect.PathState)
	g.Expect(w.Body.Len()).To(gomega.BeNumerically("<", inspect.MaxStateBytes+64<<10))
	var state inspect.State
	g.Expect(json.Unmarshal(w.Body.Bytes(), &state)).To(gomega.Succeed())
	g.Expect(state.Truncated).To(gomega.BeTrue())
	g.Expect(state.Process).To(gomega.BeEquivalentTo("router-1"))
	g.Expect(state.Revision).To(gomega.BeEquivalentTo(42))
	g.Expect(state.Sections["huge"].Error).To(gomega.ContainSubstring("truncated"))
	g.Expect(state.Sections["huge"].Head).To(gomega.HavePrefix(`"hhh`))
	g.Expect(state.Sections["a"].Error).To(gomega.BeEmpty())
	g.Expect(state.Sections["l"].Error).To(gomega.ContainSubstring("the dump is over"))
}

func TestEventsAreFilteredAndBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r, recorder := newRegistry(t)
	for range 5 {
		recorder.Emit(kindTest, event.FieldRequest, "req-1")
		recorder.Emit(kindTest, event.FieldRequest, "req-2", "large", strings.Repeat("x", inspect.MaxEventBytes/3))
	}
	var events inspect.Events
	g.Expect(json.Unmarshal(get(t, r, inspect.PathEvents+"?request=req-1&limit=3").Body.Bytes(), &events)).To(gomega.Succeed())
	g.Expect(events.Entries).To(gomega.HaveLen(3))
	g.Expect(events.Truncated).To(gomega.BeTrue())
	w := get(t, r, inspect.PathEvents)
	g.Expect(w.Body.Len()).To(gomega.BeNumerically("<=", inspect.MaxEventBytes))
	g.Expect(json.Unmarshal(w.Body.Bytes(), &events)).To(gomega.Succeed())
	g.Expect(events.Truncated).To(gomega.BeTrue())
	g.Expect(events.Entries).NotTo(gomega.BeEmpty())
}

func TestVersionMetricsAndGoroutines(t *testing.T) {
	g := gomega.NewWithT(t)
	r, recorder := newRegistry(t)
	recorder.Emit(kindTest)
	var version inspect.Version
	g.Expect(json.Unmarshal(get(t, r, inspect.PathVersion).Body.Bytes(), &version)).To(gomega.Succeed())
	g.Expect(version.Incarnation).To(gomega.BeEquivalentTo(7))
	g.Expect(version.Revision).To(gomega.BeEquivalentTo(42))
	g.Expect(get(t, r, inspect.PathMetrics).Body.String()).To(gomega.ContainSubstring(`pearyard_events_total{event="PY1998"} 1`))
	g.Expect(get(t, r, inspect.PathGoroutines).Body.String()).To(gomega.ContainSubstring("goroutine profile"))
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, inspect.PathState, nil))
	g.Expect(w.Code).To(gomega.Equal(http.StatusMethodNotAllowed))
}
