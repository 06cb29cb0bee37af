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

// Drafts are under way when all entry VMs are killed. Their callers come back a
// moment after the VMs do, each for the rest of its draft. The VMs know nothing of
// before and send each draft to any server, which reads the prompt of 8,000 tokens
// again: a second without a token for the caller, and for those whose prompts wait
// behind. The servers that had read them keep them.
func TestCallersThatComeBackGoOnWhereTheirPromptIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ids := modelServers(24)
		engines := newModelBackend(t.Context(), ids, evenSpeed)
		const drafts = 30
		killed, kill := context.WithCancel(t.Context())
		before := newModelVM(engines, ids)
		reached := make([]uint64, drafts)
		var vm sync.WaitGroup
		for i := range drafts {
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
		for i := range drafts {
			if reached[i] == 0 {
				continue // it got nothing: it comes back as if it were new
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
		g.Expect(returned).To(gomega.BeNumerically(">", drafts/2))
		g.Expect(inTime).To(gomega.Equal(returned), "goes on within the pause that callers allow")
		again := engines.tokensRead() - readBefore
		g.Expect(again).To(gomega.BeNumerically("<", returned*8000/5), "prompt tokens read again")
	})
}

// The server that keeps a caller's prompt is lost meanwhile, and one that keeps a
// part of it is so busy that another reads the prompt sooner. Knowing where it is
// kept must not hold the stream there.
func TestKeptPromptIsNoReasonToWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(streams(3, time.Millisecond, nil)))
		b.backend.kept = map[string]promptcache.Contents{"a1": {"p": 8000}, "b1": {"p": 8000}}
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

// A new prompt is kept nowhere: asking all servers for each would cost more than
// it tells.
func TestServersAreNotAskedForNewPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(streams(3, time.Millisecond, nil)))
		req := streamRequest()
		req.Prompt = []promptcache.Part{{ID: "p", Tokens: 8000}}
		_, err := b.Stream(t.Context(), req, &recordingSink{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(b.backend.asked).To(gomega.BeEmpty())
	})
}

// A VM's connections are reset, those of its callers and those to its servers. The
// caller comes back for the rest of its stream; its prompt lies at the server whose
// connection broke. That fault must not send it where the prompt has to be read. A
// server that breaks off again and again gets it only if there is no other.
func TestBrokenConnectionIsNoReasonToReadThePromptAgain(t *testing.T) {
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
				b := newBed(everywhere(streams(3, time.Millisecond, nil)), "a1", "a2")
				b.backend.kept = map[string]promptcache.Contents{"a1": {"p": 4480}}
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
