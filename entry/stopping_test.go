package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/site"
)

// aStream and aCall are routes.
var (
	aStream = &site.Route{Name: "stream", Kind: site.Stream}
	aCall   = &site.Route{Name: "call", Kind: site.Idempotent}
)

// Streams came in after SIGTERM that took longer than what was left; they were
// cut at the end of the grace period and went on late elsewhere. One that can't
// be finished is refused at once instead, one that can is taken.
func TestStoppingTakesWhatItCanFinish(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStopping()
	now := time.Now()
	g.Expect(s.leavesTime(now, time.Hour)).To(gomega.BeTrue(), "no stop has begun")
	for range durationSamples {
		s.of(aStream).took(5 * time.Second)
	}
	s.begin(now.Add(8 * time.Second))
	g.Expect(s.leavesTime(now.Add(2*time.Second), s.need(aStream, now))).To(gomega.BeTrue())
	g.Expect(s.leavesTime(now.Add(4*time.Second), s.need(aStream, now))).To(gomega.BeFalse())
}

// In the last moments a plain call was sent with no time left and answered "may
// have run" within 8 ms. It is refused as not run while it still is.
func TestStoppingRefusesPlainCallsInItsLastMoments(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStopping()
	now := time.Now()
	s.begin(now.Add(8 * time.Second))
	g.Expect(s.leavesTime(now.Add(6*time.Second), plainNeed)).To(gomega.BeTrue())
	g.Expect(s.leavesTime(now.Add(7500*time.Millisecond), plainNeed)).To(gomega.BeFalse())
	until := s.bound(now.Add(time.Minute))
	g.Expect(until).To(gomega.BeTemporally("<", s.endsAt()))
	g.Expect(s.bound(now.Add(time.Second))).To(gomega.BeTemporally("==", now.Add(time.Second)))
}

// All entry VMs were stopped 0.4 s after one another, so callers still came to
// those that were stopping. One took a stream 3.5 s after its stop began, with
// 4.16 s left, and cut it in the middle of its answer when the grace was over.
//
// The time that a stream needs was taken from the streams that had ended: two,
// after 3.94 and 4.81 s. Those that take longer had not ended yet, so they were
// not in the sample, and of two the shorter one was the estimate. Evidence: the
// line of the stream that was refused next names need=4.26s; seven streams were
// cut after up to 5.4 s, none of which a server had failed.
func TestStoppingDoesNotGoByTheFirstStreamsThatEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStopping()
	now := time.Now()
	s.of(aStream).took(3940 * time.Millisecond)
	s.of(aStream).took(4810 * time.Millisecond)
	s.begin(now.Add(7700 * time.Millisecond))
	g.Expect(s.leavesTime(now.Add(3545*time.Millisecond), s.need(aStream, now))).To(gomega.BeFalse())
}

// The same, late in a process's life: one stream in five takes half as long
// again as the others. Nobody can tell which, so none is taken that would be
// cut if it were one of these.
func TestStoppingGoesByTheLongestStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStopping()
	now := time.Now()
	for i := range durationSamples {
		s.of(aStream).took(4 * time.Second)
		if i%5 == 0 {
			s.of(aStream).took(6 * time.Second)
		}
	}
	s.begin(now.Add(7700 * time.Millisecond))
	g.Expect(s.leavesTime(now.Add(2*time.Second), s.need(aStream, now))).To(gomega.BeFalse())
}

// Early in a process's life the streams that run are the evidence: none has
// ended, or only short ones, but one has run for seven seconds already.
func TestStoppingCountsStreamsThatStillRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStopping()
		end := s.of(aStream).begin(time.Now())
		for range durationSamples {
			s.of(aStream).took(3 * time.Second)
		}
		time.Sleep(7 * time.Second)
		now := time.Now()
		s.begin(now.Add(7700 * time.Millisecond))
		g.Expect(s.leavesTime(now.Add(time.Second), s.need(aStream, now))).To(gomega.BeFalse())
		end(false)
		g.Expect(s.leavesTime(now.Add(time.Second), s.need(aStream, now))).To(gomega.BeTrue(), "one that did not come to its end shows nothing")
	})
}

// All entry VMs were stopped within a second. Callers that one refused were sent
// on to the others at once, which refused them too; they had no retry left when
// the VMs served again. They are told when that will be, as far as they wait.
func TestCallersComeBackAfterAStopOfAll(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	all := false
	h := &handler{stop: newStopping(), allStop: func() bool { return all }}
	h.stop.begin(now.Add(4 * time.Second))
	stream, plain := &site.Route{Kind: site.Stream}, &site.Route{Kind: site.Idempotent}
	draft := &platform.Call{Request: exchange.Request{Route: stream, Deadline: now.Add(25 * time.Second)}}
	short := &platform.Call{Request: exchange.Request{Route: stream, Deadline: now.Add(3 * time.Second)}}
	check := &platform.Call{Request: exchange.Request{Route: plain, Deadline: now.Add(3 * time.Second)}}
	g.Expect(h.afterStop(draft, now)).To(gomega.BeNumerically("<=", elsewhere))
	all = true
	g.Expect(h.afterStop(draft, now)).To(gomega.And(gomega.BeNumerically(">=", restartTime), gomega.BeNumerically("<=", restartTime+returnsOver)), "nothing runs")
	end := h.stop.of(stream).begin(now.Add(-time.Second))
	g.Expect(h.afterStop(draft, now)).To(gomega.And(gomega.BeNumerically(">=", 4*time.Second+restartTime), gomega.BeNumerically("<=", 4*time.Second+restartTime+returnsOver)), "at its end, as streams may take seven seconds")
	for range enoughSamples {
		h.stop.of(stream).took(3 * time.Second)
	}
	const left = 2300 * time.Millisecond // 1.1 x 3 s, of which one has passed
	g.Expect(h.afterStop(draft, now)).To(gomega.And(gomega.BeNumerically(">=", left+restartTime), gomega.BeNumerically("<=", left+restartTime+returnsOver)), "when what runs has ended")
	end(false)
	h.stop.of(stream).begin(now)
	g.Expect(h.afterStop(short, now)).To(gomega.Equal(time.Second), "a caller honours a third of the time that it has left")
	g.Expect(h.afterStop(check, now)).To(gomega.BeNumerically("<=", elsewhere))
}

// Four entry VMs are stopped two seconds apart. The last one's callers were told
// when it is back itself, after eight seconds, and came late; the first VM, which
// began its stop six seconds before, serves again seconds sooner.
func TestCallersComeBackToTheFirstVMThatIsBack(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	const grace = 7700 * time.Millisecond
	firstStop := now.Add(-6 * time.Second)
	h := &handler{stop: newStopping(), allStop: func() bool { return true }, firstStop: func() time.Time { return firstStop }}
	h.stop.begin(now.Add(grace))
	h.stop.began.Store(int64(now.Sub(h.stop.at)))
	stream := &site.Route{Kind: site.Stream}
	draft := &platform.Call{Request: exchange.Request{Route: stream, Deadline: now.Add(25 * time.Second)}}
	h.stop.of(stream).begin(now)
	const firstBack = grace - 6*time.Second + restartTime
	between := func(least time.Duration) types.GomegaMatcher {
		return gomega.BeNumerically("~", least+returnsOver/2, returnsOver/2+time.Millisecond)
	}
	g.Expect(h.afterStop(draft, now)).To(between(firstBack))
	firstStop = now.Add(-9 * time.Second)
	g.Expect(h.afterStop(draft, now)).To(between(restartTime), "its end is due, only nothing was heard of it yet")
	firstStop = time.Time{}
	g.Expect(h.afterStop(draft, now)).To(between(7*time.Second+restartTime), "nobody else tells; streams may take seven seconds")
}

// A planned stop begins while one slow call runs, a report of six seconds. Checks
// of 60 ms, which all take that long and have done so 32 times, were refused from
// then on although 7 s were left: all plain routes were one sample, and the longest
// that ran stood for each. With all VMs stopping every one of them refused.
func TestStoppingTakesShortCallsBesideALongOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStopping()
		for range durationSamples {
			s.of(aCall).took(60 * time.Millisecond)
		}
		s.of(&site.Route{Name: "report", Kind: site.Idempotent}).begin(time.Now())
		time.Sleep(6 * time.Second)
		now := time.Now()
		s.begin(now.Add(modelGrace - graceMargin))
		later := now.Add(700 * time.Millisecond)
		h := &handler{stop: s, recorder: event.Discard()}
		check := &platform.Call{Request: exchange.Request{ID: "r", Route: aCall}}
		left := s.endsAt().Sub(later)
		time.Sleep(later.Sub(now))
		g.Expect(h.mayTake(check)).To(gomega.BeTrue(), "a check of 60 ms with %v left; need %v", left, s.need(aCall, later))
	})
}

// The same for streams: short ones and long ones are different routes.
func TestStoppingTakesShortStreamsBesideALongOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStopping()
		for range durationSamples {
			s.of(aStream).took(time.Second)
		}
		s.of(&site.Route{Name: "draft", Kind: site.Stream}).begin(time.Now())
		time.Sleep(10 * time.Second)
		s.begin(time.Now().Add(modelGrace - graceMargin))
		h := &handler{stop: s, recorder: event.Discard()}
		note := &platform.Call{Request: exchange.Request{ID: "r", Route: aStream}}
		g.Expect(h.mayTake(note)).To(gomega.BeTrue(), "a stream of 1 s with 7.7 s left")
	})
}

// A process has been started again and is stopped soon after. Of each of three
// kinds of drafts three have ended, nine in all, after five seconds at most.
// Drafts that come with six seconds left were refused, as too few of their own
// kind had ended; the longest of all drafts is as good a witness.
func TestStoppingGoesByAllStreamsWhileARoutesOwnAreFew(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStopping()
	now := time.Now()
	for _, name := range []string{"tender", "plan", "note"} {
		for range 3 {
			s.of(&site.Route{Name: name, Kind: site.Stream}).took(5 * time.Second)
		}
	}
	s.of(aCall).took(9 * time.Second)
	note := &site.Route{Name: "note", Kind: site.Stream}
	s.begin(now.Add(7700 * time.Millisecond))
	g.Expect(s.leavesTime(now.Add(1700*time.Millisecond), s.need(note, now))).To(gomega.BeTrue())
	g.Expect(s.leavesTime(now.Add(2300*time.Millisecond), s.need(note, now))).To(gomega.BeFalse())
	g.Expect(s.leavesTime(now.Add(1700*time.Millisecond), s.need(aStream, now))).To(gomega.BeTrue(), "a kind that is new")
}

// A configuration names no routes. A label of 60 ms and drafts are then told
// apart by their kind, or the first label would let drafts in that are cut.
func TestStoppingTellsKindsApartWithoutNames(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStopping()
	for range durationSamples {
		s.of(&site.Route{Kind: site.AtMostOnce}).took(60 * time.Millisecond)
	}
	g.Expect(s.need(&site.Route{Kind: site.Stream}, time.Now())).To(gomega.Equal(streamUnknown))
}
