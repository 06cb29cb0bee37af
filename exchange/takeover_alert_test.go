package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// stuckSink is a caller that takes a millisecond for each event and the time stuck for
// the event stuckAt.
type stuckSink struct {
	recordingSink
	stuckAt uint64
	stuck   time.Duration
}

func (s *stuckSink) Event(raw []byte) error {
	time.Sleep(time.Millisecond)
	err := s.recordingSink.Event(raw)
	if s.ids[len(s.ids)-1] == s.stuckAt {
		time.Sleep(s.stuck)
	}
	return err
}

// A caller reads nothing for some seconds, in which its server pauses and resumes. When
// the caller reads again, an event is ready, but so is the alert of the silence before
// it. Guards against ending the response because of that alert right after the event.
func TestOutdatedSilenceAlertIsDiscarded(t *testing.T) {
	cut := 0
	for range 20 { // an event and an alert are ready at once: which is received first is random
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed(inOrder(pausing(6*time.Second)), "a1")
			b.backend.probes["a1"] = errHang
			sink := &stuckSink{recordingSink: recordingSink{start: time.Now()}, stuckAt: 50, stuck: 7 * time.Second}
			req := streamRequest()
			req.Route.MaxAttempts = 1
			if _, err := b.Stream(t.Context(), req, sink); err != nil {
				cut++
				t.Logf("cut off after %d events: %v", len(sink.ids), err)
			}
			time.Sleep(time.Second) // probes may be in flight
		})
	}
	gomega.NewWithT(t).Expect(cut).To(gomega.BeZero(), "responses cut off, of 20")
}
