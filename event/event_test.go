package event_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/pearyard/pearyard/event"
)

var kindTest = event.Define(1999, "event_test", event.Warn, "A test | ran.", "nothing")

func TestRingKeepsTheNewestInOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	var logged bytes.Buffer
	r := event.NewRecorder(log.NewLogfmtLogger(&logged), 3)
	for _, step := range []string{"a", "b", "c", "d", "e"} {
		r.Emit(kindTest, event.FieldRequest, "req-1", "step", step)
	}
	var steps []string
	for _, entry := range r.Entries("req-1") {
		steps = append(steps, entry.Fields["step"])
	}
	g.Expect(steps).To(gomega.Equal([]string{"c", "d", "e"}))
	g.Expect(r.Overwritten()).To(gomega.BeEquivalentTo(2))
	g.Expect(r.Entries("req-2")).To(gomega.BeEmpty())
	g.Expect(logged.String()).To(gomega.ContainSubstring("level=warn event=PY1999 name=event_test request=req-1 step=e"))
}

func TestConcurrentEmitLosesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	const emitters, each = 8, 200
	r := event.NewRecorder(log.NewNopLogger(), emitters*each)
	metrics := prometheus.NewRegistry()
	g.Expect(r.Register(metrics)).To(gomega.Succeed())
	var wg sync.WaitGroup
	for range emitters {
		wg.Go(func() {
			for range each {
				r.Emit(kindTest)
				r.Entries("")
			}
		})
	}
	wg.Wait()
	g.Expect(r.Entries("")).To(gomega.HaveLen(emitters * each))
	g.Expect(r.Overwritten()).To(gomega.BeZero())
	want := `# HELP pearyard_events_total Events by number; docs/EVENTS.md says what each means.
# TYPE pearyard_events_total counter
pearyard_events_total{event="PY1999"} 1600
`
	g.Expect(testutil.GatherAndCompare(metrics, strings.NewReader(want), "pearyard_events_total")).To(gomega.Succeed())
}

func TestFieldWithoutValueIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	r := event.Discard()
	r.Emit(kindTest, "alone")
	g.Expect(r.Entries("")[0].Fields).To(gomega.HaveKey("alone"))
}

func TestNumberUsedTwicePanics(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(func() { event.Define(1999, "other", event.Info, "m", "d") }).To(gomega.Panic())
}

func TestFindAndPage(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, id := range []string{"PY1999", "py1999", "1999", "event_test"} {
		kind, ok := event.Find(id)
		g.Expect(ok).To(gomega.BeTrue(), id)
		g.Expect(kind).To(gomega.Equal(kindTest))
	}
	_, ok := event.Find("PY0001")
	g.Expect(ok).To(gomega.BeFalse())
	kind := event.Kind{Number: 2001, Name: "n", Level: event.Info, Means: "a | b", Do: "nothing"}
	var page bytes.Buffer
	g.Expect(event.WriteMarkdown(&page, []event.Kind{kind})).To(gomega.Succeed())
	g.Expect(page.String()).To(gomega.ContainSubstring("| PY2001 | `n` | info | a \\| b | nothing |"))
}

// BenchmarkEmit measures concurrent calls of Emit, as on the request path.
func BenchmarkEmit(b *testing.B) {
	r := event.NewRecorder(log.NewNopLogger(), event.DefaultRingSize)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Emit(kindTest, event.FieldRequest, "req-1", "step", "a")
		}
	})
}
