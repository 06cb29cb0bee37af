package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// stuckSink takes a while for each event, and long for one.
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

// A caller takes nothing for some seconds, in which its server pauses too and goes
// on. When the caller reads again, an event lies ready, but what was told of the
// silence before it is still there: the answer was cut right after that event.
func TestSilenceThatIsOverIsNotToldLater(t *testing.T) {
	cut := 0
	for range 20 { // an event and a notice lie ready at once: which is taken first is chance
		synctest.Test(t, func(t *testing.T) {
			b := newBed(firstOf(pausing(6*time.Second)), "a1")
			b.backend.probes["a1"] = errMute
			sink := &stuckSink{recordingSink: recordingSink{start: time.Now()}, stuckAt: 50, stuck: 7 * time.Second}
			req := streamRequest()
			req.Route.MaxAttempts = 1
			if _, err := b.Stream(t.Context(), req, sink); err != nil {
				cut++
				t.Logf("cut after %d events: %v", len(sink.ids), err)
			}
			time.Sleep(time.Second) // questions may be open
		})
	}
	gomega.NewWithT(t).Expect(cut).To(gomega.BeZero(), "answers cut of 20")
}
