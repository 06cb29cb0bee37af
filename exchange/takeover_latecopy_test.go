package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

// lateCopies answers that a copy was made some time after it was asked for.
type lateCopies struct {
	*fakeBackend
	after time.Duration
}

func (b lateCopies) Copy(ctx context.Context, r *Request, from, to *directory.Server) (*Memory, error) {
	time.Sleep(b.after)
	return b.fakeBackend.Copy(ctx, r, from, to)
}

// A draft's copy is lost, another one is asked for, and the draft ends before the
// answer to that. The new copy was forgotten: its memory stayed set aside.
func TestCopyThatComesAfterTheEndIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(streams(60, beat, nil)))
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
