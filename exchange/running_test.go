package exchange

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
)

// An entry VM loses power while a stream runs through it without trouble, and the
// caller complains with the stream's id. Guards against a log without that id: each
// stream that runs for a second must be logged, once only.
func TestStreamsInProgressAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(streams(130, eventInterval, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = b.LogRunning(ctx) }()
		req := streamRequest()
		req.ID = "long"
		_, err := runStream(t, b, req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var named []string
		for _, e := range b.recorder.Entries("") {
			if e.ID == EventRunning.ID() {
				named = append(named, e.Fields[event.FieldRequests])
			}
		}
		g.Expect(named).To(gomega.Equal([]string{"long@" + b.backend.sent()[0].Server.ID}))
	})
}

// With hundreds of streams, lines must stay of bounded length and name every one of
// them.
func TestManyStreamsAreLoggedInSeveralLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(nil)
		for i := range 3*streamsPerLine + 1 {
			b.active.add(fmt.Sprintf("r%03d", i), 0)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = b.LogRunning(ctx) }()
		time.Sleep(runningLogInterval + time.Millisecond)
		cancel()
		lines, all := 0, ""
		for _, e := range b.recorder.Entries("") {
			lines++
			all += e.Fields[event.FieldRequests] + event.RequestSeparator
		}
		g.Expect(lines).To(gomega.Equal(4))
		g.Expect(strings.Count(all, event.ServerSeparator)).To(gomega.Equal(3*streamsPerLine + 1))
	})
}
