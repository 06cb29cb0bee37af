package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

// lateCopies delays the responses to requests for copies.
type lateCopies struct {
	*fakeBackend
	after time.Duration
}

func (b lateCopies) Copy(ctx context.Context, r *Request, from, to *directory.Server) (*KVCopy, error) {
	time.Sleep(b.after)
	return b.fakeBackend.Copy(ctx, r, from, to)
}

// A stream's copy is lost, another one is requested, and the stream ends before the
// response to that. Guards against forgetting the new copy, whose memory stayed
// reserved.
func TestCopyThatArrivesAfterTheEndIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(streams(60, eventInterval, nil)))
		b.opts.Backend = lateCopies{b.backend, 600 * time.Millisecond}
		time.AfterFunc(1300*time.Millisecond, func() { b.backend.sent()[0].CopyTo.MarkLost(time.Now()) })
		_, err := runStream(t, b, streamRequest())
		time.Sleep(2 * time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		b.backend.mu.Lock()
		defer b.backend.mu.Unlock()
		g.Expect(b.backend.copies).To(gomega.HaveLen(1))
		g.Expect(b.backend.freed).To(gomega.HaveLen(1))
	})
}
