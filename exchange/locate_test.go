package exchange

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/promptcache"
)

// All entry VMs are killed while streams run. Their callers come back a moment after
// the VMs do, each for the rest of its stream. Guards against sending the streams to
// any server, since the new VMs know nothing of before: each prompt of 8,000 tokens is
// read again, a second without a token for the caller and for those whose prompts are
// queued behind. The servers that had read the prompts have them cached.
func TestReturningCallersResumeWhereTheirPromptIsCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ids := modelServers(24)
		engines := newModelBackend(t.Context(), ids, evenSpeed)
		const streamCount = 30
		killed, kill := context.WithCancel(t.Context())
		before := newModelVM(engines, ids)
		reached := make([]uint64, streamCount)
		var vm sync.WaitGroup
		for i := range streamCount {
			vm.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				sink := &recordingSink{start: time.Now()}
				_, _ = before.Stream(killed, modelRequest(strconv.Itoa(i)), sink)
				if n := len(sink.ids); n > 0 {
					reached[i] = sink.ids[n-1]
				}
			})
		}
		time.Sleep(4500 * time.Millisecond)
		kill()
		vm.Wait()
		readBefore := engines.tokensRead()

		after := newModelVM(engines, ids)
		returned, inTime := 0, 0
		var mu sync.Mutex
		var callers sync.WaitGroup
		for i := range streamCount {
			if reached[i] == 0 {
				continue // it got nothing: its request looks new
			}
			returned++
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				req := modelRequest(strconv.Itoa(i))
				req.ID, req.LastEvent = fmt.Sprint("again-", i), strconv.FormatUint(reached[i], 10)
				sink := &recordingSink{start: time.Now()}
				_, err := after.Stream(t.Context(), req, sink)
				mu.Lock()
				defer mu.Unlock()
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids[0]).To(gomega.Equal(reached[i] + 1))
				if sink.first <= 700*time.Millisecond {
					inTime++
				}
			})
		}
		callers.Wait()
		g.Expect(returned).To(gomega.BeNumerically(">", streamCount/2))
		g.Expect(inTime).To(gomega.Equal(returned), "resumes within the pause that callers allow")
		again := engines.tokensRead() - readBefore
		g.Expect(again).To(gomega.BeNumerically("<", returned*8000/5), "prompt tokens read again")
	})
}

// Of the servers that have the prompt cached, one is lost and the other so busy that
// another one reads the prompt sooner. Knowing where the prompt is cached must not hold
// the stream there.
func TestCachedPromptDoesNotHoldAStreamAtABusyServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(streams(3, time.Millisecond, nil)))
		b.backend.cached = map[string]promptcache.Contents{"a1": {"p": 8000}, "b1": {"p": 8000}}
		server := func(id string) int {
			for i, s := range b.dir.View().Service("s") {
				if s.ID == id {
					return i
				}
			}
			return -1
		}
		list := b.dir.View().Service("s")
		list[server("a1")].MarkLost(time.Now())
		list[server("b1")].BeginStream(20000)
		req := streamRequest()
		req.LastEvent, req.Prompt = "1", []promptcache.Part{{ID: "p", Tokens: 8000}}
		_, err := b.Stream(t.Context(), req, &recordingSink{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
		g.Expect(b.backend.sent()[0].Server.ID).To(gomega.Or(gomega.Equal("a2"), gomega.Equal("b2")))
	})
}

// A new prompt is cached nowhere: querying all servers for each would cost more than it
// gains.
func TestServersAreNotAskedForNewPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(streams(3, time.Millisecond, nil)))
		req := streamRequest()
		req.Prompt = []promptcache.Part{{ID: "p", Tokens: 8000}}
		_, err := b.Stream(t.Context(), req, &recordingSink{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(b.backend.asked).To(gomega.BeEmpty())
	})
}

// A VM's connections to its callers and servers are reset. The caller comes back for
// the rest of its stream, whose prompt is cached on the server whose connection broke.
// Guards against sending the stream to another server because of that one fault: the
// prompt would have to be read there. A server that breaks off again and again is used
// only if there is no other.
func TestOneBrokenConnectionDoesNotMakeThePromptBeReadAgain(t *testing.T) {
	for name, c := range map[string]struct {
		faults float64
		want   string
	}{
		"one break":   {1, "a1"},
		"many breaks": {5, "a2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(everywhere(streams(3, time.Millisecond, nil)), "a1", "a2")
				b.backend.cached = map[string]promptcache.Contents{"a1": {"p": 4480}}
				b.dir.View().Service("s")[0].RecordFault(time.Now(), c.faults)
				req := streamRequest()
				req.LastEvent, req.PromptTokens, req.Prompt = "1", 4488, []promptcache.Part{{ID: "p", Tokens: 4488}}
				_, err := b.Stream(t.Context(), req, &recordingSink{})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(b.backend.sent()[0].Server.ID).To(gomega.Equal(c.want))
			})
		})
	}
}
