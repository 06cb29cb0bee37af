package exchange

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/site"
)

// newRestartTestbed returns a testbed with one server that is lost, answered a request when it
// was last heard unless it never has, and a process at its
// address that answers with another id, a2, once backAfter has passed. found waits and
// returns the id of the restart that was detected; empty: none.
func newRestartTestbed(storeUnavailable, hasAnswered bool, backAfter time.Duration) (b *testbed, found func() string) {
	b = newTestbed(nil, "a1")
	lost := time.Now()
	got := make(chan string, 1)
	b.opts.Restarts = &RestartDetector{
		Reuse:            2 * time.Second,
		StoreUnavailable: func() bool { return storeUnavailable },
		Identify: func(context.Context, *directory.Server) (directory.Start, error) {
			if time.Since(lost) < backAfter {
				return directory.Start{}, io.ErrClosedPipe
			}
			return directory.Start{ID: "a2"}, nil
		},
		Found: func(_ *directory.Server, start directory.Start) { got <- start.ID },
	}
	s := b.dir.View().Service("s")[0]
	s.MarkHeard(lost)
	if hasAnswered {
		s.RecordAnswer(lost)
	}
	b.recordFailure(s, &NotRunError{Reason: Refused, Err: io.ErrClosedPipe})
	return b, func() string {
		time.Sleep(3 * time.Second)
		select {
		case id := <-got:
			return id
		default:
			return ""
		}
	}
}

// A server crashes while the store is unavailable and is back a second later with an id
// that no list has. It must be detected at its address.
func TestRestartIsDetectedWhileTheStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, found := newRestartTestbed(true, true, 1200*time.Millisecond)
		gomega.NewWithT(t).Expect(found()).To(gomega.Equal("a2"))
	})
}

// From two seconds after a server's end its address may be another service's. What
// answers there then must not be taken for the server.
func TestAddressIsNotPolledOnceItMayBeReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, found := newRestartTestbed(true, true, 2100*time.Millisecond)
		gomega.NewWithT(t).Expect(found()).To(gomega.BeEmpty())
	})
}

// While the store is available, its list alone says which servers there are.
func TestRestartIsNotLookedForWhileTheStoreIsAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, found := newRestartTestbed(false, true, 1200*time.Millisecond)
		gomega.NewWithT(t).Expect(found()).To(gomega.BeEmpty())
	})
}

// Guards against another service's process at the address of a server that had died before this process started: its
// entry has been read a moment ago, and it has never answered.
func TestProcessAtTheAddressOfAServerThatNeverAnsweredIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, found := newRestartTestbed(true, false, 1200*time.Millisecond)
		gomega.NewWithT(t).Expect(found()).To(gomega.BeEmpty())
	})
}

// Guards against an answer that was under way for long being taken for the proof that its server ran when it came.
func TestServerRanWhenItsRequestWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(answers(200, "ok", 1500*time.Millisecond)), "a1")
		sent := time.Now()
		_, err := b.Call(t.Context(), request(site.AtMostOnce))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(b.dir.View().Service("s")[0].RanAt()).To(gomega.BeTemporally("==", sent))
	})
}

// Guards against a refusal, which another service's process may send, being taken for a proof that the server runs.
func TestRefusalIsNoProofThatTheServerRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		for _, play := range []script{refuses(Busy), refuses(Misdirected), refuses(WrongVersion), breaks(), answers(400, "no", 0)} {
			b := newTestbed(everywhere(play), "a1")
			_, _ = b.Call(t.Context(), request(site.AtMostOnce))
			g.Expect(b.dir.View().Service("s")[0].RanAt()).To(gomega.BeZero())
			time.Sleep(time.Second)
		}
	})
}
