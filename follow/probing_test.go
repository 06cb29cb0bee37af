package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/retry"
)

// silentStore counts requests, and responds only to those that are sent once it is back.
type silentStore struct {
	requests atomic.Int32
	back     time.Time // when the outage ends
}

func (s *silentStore) loop(group *ProbeGroup) *Loop {
	respond := func(ctx context.Context) (Update, error) {
		s.requests.Add(1)
		if time.Now().Before(s.back) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return func() {}, nil
	}
	return &Loop{
		Read: respond, Next: func(ctx context.Context, wait time.Duration) (Update, error) {
			if err := retry.Wait(ctx, wait); err != nil {
				return nil, err
			}
			return respond(ctx)
		},
		LongPoll: time.Second, ProbeGroup: group,
	}
}

// Guards against loops that each send requests to a store that is down, and against a
// loop that is late after its return because another one probed.
func TestOneLoopProbesAStoreThatIsDown(t *testing.T) {
	const outage = 10 * time.Second
	simulate := func(t *testing.T, group *ProbeGroup) (requests int, late time.Duration) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &silentStore{back: time.Now().Add(outage)}
		loops := []*Loop{store.loop(group), store.loop(group), store.loop(group)}
		for _, l := range loops {
			go func() { _ = l.Run(ctx) }()
		}
		time.Sleep(outage)
		synctest.Wait()
		requests = int(store.requests.Load())
		for loops[0].Failing() || loops[1].Failing() || loops[2].Failing() {
			time.Sleep(time.Millisecond)
			late += time.Millisecond
		}
		cancel()
		synctest.Wait()
		return requests, late
	}
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		alone, _ := simulate(t, nil)
		requests, late := simulate(t, NewProbeGroup())
		g.Expect(requests).To(gomega.BeNumerically("<", alone))
		g.Expect(late).To(gomega.BeNumerically("<", responseTimeout+maxProbeDelay+50*time.Millisecond))
	})
}
