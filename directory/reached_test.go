package directory

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// countingSource adds one server with each change.
type countingSource struct{ position types.Position }

func (s *countingSource) List(context.Context) (types.Position, []Listing, error) {
	return s.position, nil, nil
}

func (s *countingSource) Changes(context.Context, types.Position, time.Duration) (types.Position, []Listing, []string, error) {
	s.position++
	id := strconv.FormatUint(uint64(s.position), 10)
	return s.position, []Listing{{ID: id, Service: "s", Address: "10.0.0.1:" + id, Slots: 1}}, nil, nil
}

// Guards against a position that is reported as reached before the list contains the
// changes up to it: peers that learn it in between never ask for the change.
func TestReachedPositionIsInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &Follower{Directory: New(), Source: &countingSource{}, Recorder: event.Discard()}
	f.newLoop()
	ctx, cancel := context.WithCancel(t.Context())
	var late types.Position
	var reader sync.WaitGroup
	reader.Go(func() {
		for ctx.Err() == nil {
			if reached := f.Directory.Reached(); reached > f.Directory.View().Position {
				late++
			}
		}
	})
	for range 400 {
		update, err := f.changes(ctx, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		update()
	}
	cancel()
	reader.Wait()
	g.Expect(late).To(gomega.BeZero())
}
