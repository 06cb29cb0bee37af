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

// silentStore counts questions, and answers once it is back.
type silentStore struct {
	asked atomic.Int32
	back  time.Time
}

func (s *silentStore) loop(turns *Turns) *Loop {
	ask := func(ctx context.Context) (Update, error) {
		s.asked.Add(1)
		if time.Now().Before(s.back) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return func() {}, nil
	}
	return &Loop{
		Read: ask, Next: func(ctx context.Context, wait time.Duration) (Update, error) {
			if err := retry.Wait(ctx, wait); err != nil {
				return nil, err
			}
			return ask(ctx)
		},
		Wait: time.Second, Turns: turns,
	}
}

// Guards against loops that each ask a store that is away, and against one that is
// late after its return because another one asked.
func TestOneLoopAsksAStoreThatIsAway(t *testing.T) {
	const away = 10 * time.Second
	play := func(t *testing.T, turns *Turns) (asked int, late time.Duration) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &silentStore{back: time.Now().Add(away)}
		loops := []*Loop{store.loop(turns), store.loop(turns), store.loop(turns)}
		for _, l := range loops {
			go func() { _ = l.Run(ctx) }()
		}
		time.Sleep(away)
		synctest.Wait()
		asked = int(store.asked.Load())
		for loops[0].Failing() || loops[1].Failing() || loops[2].Failing() {
			time.Sleep(time.Millisecond)
			late += time.Millisecond
		}
		cancel()
		synctest.Wait()
		return asked, late
	}
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		alone, _ := play(t, nil)
		asked, late := play(t, NewTurns())
		g.Expect(asked).To(gomega.BeNumerically("<", alone))
		g.Expect(late).To(gomega.BeNumerically("<", answerWithin+turnPause+50*time.Millisecond))
	})
}
