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

// restartBed is a bed with one server that is lost, and a process at its
// address that answers with another id from a given time on.
func restartBed(away bool, backAfter time.Duration) (b *bed, found func() string) {
	b = newBed(nil, "a1")
	lost := time.Now()
	got := make(chan string, 1)
	b.opts.Restarts = &Restarts{
		Reuse: 2 * time.Second,
		Away:  func() bool { return away },
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
	b.failed(s, &NotRunError{Reason: Refused, Err: io.ErrClosedPipe})
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

// A server crashes while the store is away and is back a second later under an
// id that nobody lists. It is found at its address.
func TestServerIsFoundWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, found := restartBed(true, 1200*time.Millisecond)
		gomega.NewWithT(t).Expect(found()).To(gomega.Equal("a2"))
	})
}

// From two seconds after a server's end on its address may be another service's.
// What answers there then is not taken for the server.
func TestAddressThatMayBeAnotherServicesIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, found := restartBed(true, 2100*time.Millisecond)
		gomega.NewWithT(t).Expect(found()).To(gomega.BeEmpty())
	})
}

// While the store answers, it alone says which servers there are.
func TestNothingIsLookedForWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, found := restartBed(false, 1200*time.Millisecond)
		gomega.NewWithT(t).Expect(found()).To(gomega.BeEmpty())
	})
}
