package exchange

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// got is what a caller got of a stream.
type got struct {
	first, pause time.Duration
	events       int
	err          error
}

// inTime tells whether the answer is whole, its first event came within the
// objective and no pause was longer than the caller allows.
func (o got) inTime(r *Request, events int) bool {
	return o.err == nil && o.events == events && o.first <= r.Route.Objective && o.pause <= r.Route.MaxGap
}

// play sends streams at set times and returns what their callers got.
func (vm *modelVM) play(t *testing.T, arrivals []time.Duration) []got {
	outcomes := make([]got, len(arrivals))
	var callers sync.WaitGroup
	for i, at := range arrivals {
		callers.Go(func() {
			time.Sleep(at)
			sink := &recordingSink{start: time.Now()}
			_, err := vm.Stream(t.Context(), modelRequest(fmt.Sprint("s", i)), sink)
			outcomes[i] = got{first: sink.first, pause: sink.longest, events: len(sink.ids), err: err}
		})
	}
	callers.Wait()
	return outcomes
}

// every returns times that far apart.
func every(gap time.Duration, count int) []time.Duration {
	var at []time.Duration
	for i := range count {
		at = append(at, time.Duration(i)*gap)
	}
	return at
}

// A burst of 48 long prompts comes to 24 idle servers within a second. Each server
// can read two of them before the second one's first event is late by a second;
// four on one server, while another has none, would make two callers wait for
// longer than their objective of 4.5 s with all the tokens that they hold up.
func TestBurstOfLongPromptsIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ids := modelServers(24)
		engines := newModelBackend(t.Context(), ids, evenSpeed)
		vm := newModelVM(engines, ids)
		for i, o := range vm.play(t, every(20*time.Millisecond, 48)) {
			g.Expect(o.inTime(modelRequest(""), 130)).To(gomega.BeTrue(), "caller %d: %+v", i, o)
		}
		for id, e := range engines.engines {
			g.Expect(e.begun).To(gomega.BeNumerically("<=", 3), id)
		}
	})
}

// A zone of six servers is lost every 6.5 s for 1.2 s while six streams a second
// come, as many as 24 servers bear. A quarter of what runs is struck each time. What
// has a copy goes on within the pause; what has no event yet begins anew within its
// objective. Only streams between their first event and their copy, 0.4 s of six,
// may pause for as long as a prompt takes: 0.6 of 40 a loss.
func TestZoneLostEverySixSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ids := modelServers(24)
		engines := newModelBackend(t.Context(), ids, evenSpeed)
		vm := newModelVM(engines, ids)
		go func() {
			for _, zone := range []string{"a", "b", "c", "d"} {
				time.Sleep(6500*time.Millisecond - 1200*time.Millisecond)
				engines.strike(zone, (*modelEngine).crash)
				time.Sleep(1200 * time.Millisecond)
				engines.strike(zone, (*modelEngine).revive)
				vm.readList(engines, ids)
			}
		}()
		const streams = 180
		inTime := 0
		for i, o := range vm.play(t, every(165*time.Millisecond, streams)) {
			if o.err != nil {
				t.Errorf("caller %d: %v", i, o.err)
			}
			if o.inTime(modelRequest(""), 130) {
				inTime++
			}
		}
		const losses, unlucky = 4, 0.6
		g.Expect(inTime).To(gomega.BeNumerically(">=", streams-2*losses*unlucky), "of %d, with twice the share that can't be in time", streams)
	})
}

func (b *modelBackend) strike(zone string, how func(*modelEngine)) {
	for id, e := range b.engines {
		if strings.HasPrefix(id, zone) {
			how(e)
		}
	}
}
