package streamversion

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const service = 1

func TestInfer(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for name, c := range map[string]struct {
		play   func(h *History)
		maxAge time.Duration // 0: Retention
		want   string
		known  bool
		before bool
	}{
		"a single version": {play: func(h *History) { h.SetComplete(start); h.Observe(service, []string{"v1"}, start) }, want: "v1", known: true},
		"a single version, what served before is unknown": {play: func(h *History) { h.Observe(service, []string{"v1"}, start) }},
		"known later": {play: func(h *History) { h.Observe(service, []string{"v1"}, start); h.SetComplete(at(time.Second)) }, want: "v1", known: true},
		"no list":     {play: func(h *History) { h.SetComplete(start) }},
		"a second version appears": {play: func(h *History) {
			h.SetComplete(start)
			h.Observe(service, []string{"v1"}, start)
			h.Observe(service, []string{"v1", "v2"}, at(time.Second))
		}, want: "v1", known: true, before: true},
		"a second version appeared before the stream can have begun": {maxAge: 5 * time.Second, play: func(h *History) {
			h.SetComplete(start)
			h.Observe(service, []string{"v1"}, start)
			h.Observe(service, []string{"v1", "v2"}, at(time.Second))
		}},
		"two versions from the start": {play: func(h *History) { h.SetComplete(start); h.Observe(service, []string{"v1", "v2"}, start) }},
		"the first version has left": {play: func(h *History) {
			h.SetComplete(start)
			h.Observe(service, []string{"v1", "v2"}, start)
			h.Observe(service, []string{"v2"}, at(time.Second))
		}},
		"another process has seen a version before": {play: func(h *History) {
			h.Observe(service, []string{"v2"}, start)
			h.Merge(service, "v1", at(-time.Second), start)
			h.SetComplete(start)
		}},
		"another process has seen the same version": {play: func(h *History) {
			h.Observe(service, []string{"v1"}, start)
			h.Merge(service, "v1", at(-time.Second), start)
			h.SetComplete(start)
		}, want: "v1", known: true},
		"entries that name no version": {play: func(h *History) { h.SetComplete(start); h.Observe(service, []string{""}, start) }, known: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := NewHistory()
			c.play(h)
			if c.maxAge == 0 {
				c.maxAge = Retention
			}
			got, ok := h.Infer(service, c.maxAge, at(10*time.Second))
			g.Expect(got.Version).To(gomega.Equal(c.want))
			g.Expect(ok).To(gomega.Equal(c.known))
			g.Expect(got.Before).To(gomega.Equal(c.before))
		})
	}
}

// Guards against a version that counts as the only one while streams of another may still
// come back.
func TestVersionIsForgottenAfterTheRetention(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	h := NewHistory()
	h.SetComplete(start)
	h.Observe(service, []string{"v1", "v2"}, start)
	h.Observe(service, []string{"v2"}, start.Add(time.Second))
	g.Expect(h.Mixed(service, start.Add(Retention))).To(gomega.BeTrue())
	g.Expect(h.Mixed(service, start.Add(Retention+2*time.Second))).To(gomega.BeFalse())
	got, ok := h.Infer(service, Retention, start.Add(Retention+2*time.Second))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(got).To(gomega.Equal(Inference{Version: "v2"}))
}

func TestObserveTellsWhenASecondVersionAppears(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	h := NewHistory()
	g.Expect(h.Observe(service, []string{"v1"}, start)).To(gomega.BeFalse())
	g.Expect(h.Observe(service, []string{"v1", "v2"}, start)).To(gomega.BeTrue())
	g.Expect(h.Observe(service, []string{"v1", "v2"}, start)).To(gomega.BeFalse())
}
