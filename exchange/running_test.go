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

// An entry VM loses power while a stream runs through it without trouble. Its
// caller complains with the stream's id: a line from before must name it. Short
// streams, and a long one's later seconds, cost nothing more.
func TestStreamsOnTheirWayAreNamedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(streams(130, beat, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = b.TellRunning(ctx) }()
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

// A process has hundreds of streams. Its lines stay of bounded length and name
// every one of them.
func TestManyStreamsAreNamedInSeveralLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(nil)
		for i := range 3*runningInLine + 1 {
			b.running.begin(fmt.Sprintf("r%03d", i))
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = b.TellRunning(ctx) }()
		time.Sleep(tellRunning + time.Millisecond)
		cancel()
		lines, all := 0, ""
		for _, e := range b.recorder.Entries("") {
			lines++
			all += e.Fields[event.FieldRequests] + event.RequestSeparator
		}
		g.Expect(lines).To(gomega.Equal(4))
		g.Expect(strings.Count(all, event.ServerSeparator)).To(gomega.Equal(3*runningInLine + 1))
	})
}
