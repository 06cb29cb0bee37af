package exchange

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

// newRestartTestbed returns a testbed with one server that is lost, and a process at its
// address that answers with another id, a2, once backAfter has passed. found waits and
// returns the id of the restart that was detected; empty: none.
func newRestartTestbed(storeUnavailable bool, backAfter time.Duration) (b *testbed, found func() string) {
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
		_, found := newRestartTestbed(true, 1200*time.Millisecond)
		gomega.NewWithT(t).Expect(found()).To(gomega.Equal("a2"))
	})
}

// From two seconds after a server's end its address may be another service's. What
// answers there then must not be taken for the server.
func TestAddressIsNotPolledOnceItMayBeReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, found := newRestartTestbed(true, 2100*time.Millisecond)
		gomega.NewWithT(t).Expect(found()).To(gomega.BeEmpty())
	})
}

// While the store is available, its list alone says which servers there are.
func TestRestartIsNotLookedForWhileTheStoreIsAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, found := newRestartTestbed(false, 1200*time.Millisecond)
		gomega.NewWithT(t).Expect(found()).To(gomega.BeEmpty())
	})
}
