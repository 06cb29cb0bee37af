package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// A healthy server pauses, the one that holds the copy is asked to continue the stream and refuses,
// and the first one resumes by itself. Later it breaks off. Guards against having no copy then,
// since the refused request used it up: the prompt was read again.
func TestRefusedSuccessorLeavesACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		resumesAndBreaks := func(ctx context.Context, a *Attempt) (*Answer, error) {
			ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
			context.AfterFunc(ctx, cancel)
			pauses := make([]time.Duration, 401)
			for i := range pauses {
				pauses[i] = eventInterval
			}
			pauses[51] = 600 * time.Millisecond
			return paced(400, pauses...)(ctx, a)
		}
		b := newTestbed(inOrder(resumesAndBreaks, refuses(Busy), streams(400, eventInterval, nil)))
		b.measurePrompts(time.Second) // too long to read one again meanwhile
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 400)))
		sent := b.backend.sent()
		g.Expect(sent).To(gomega.HaveLen(3))
		g.Expect(sent[2].ResumeFrom).NotTo(gomega.BeNil(), "resumes from a copy")
	})
}
