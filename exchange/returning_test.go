package exchange

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// returning is a caller that comes back for the rest of its stream.
type returning struct {
	name    string
	reached int           // events that it has
	left    time.Duration // until its deadline
	after   time.Duration // when it comes back
}

// comeBack plays callers that come back and returns how each ended.
func comeBack(t *testing.T, vm *modelVM, callers []returning) map[string]ending {
	var mu sync.Mutex
	ends := map[string]ending{}
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Go(func() {
			time.Sleep(c.after)
			req := modelRequest(c.name)
			req.ID, req.LastEvent = "again-"+c.name, strconv.Itoa(c.reached)
			req.Deadline = req.Arrived.Add(c.left)
			_, err := vm.Stream(t.Context(), req, &recordingSink{start: time.Now()})
			end := ending{took: time.Since(req.Arrived)}
			_ = errors.As(err, &end.failure)
			mu.Lock()
			defer mu.Unlock()
			ends[c.name] = end
		})
	}
	wg.Wait()
	return ends
}

// newMeasuredVM returns a VM that has served a stream at each server, so that it knows their
// speed and how long streams are.
func newMeasuredVM(t *testing.T, engines *modelBackend, ids []string) *modelVM {
	vm := newModelVM(engines, ids)
	time.Sleep(startupWait)
	var wg sync.WaitGroup
	for i := range ids {
		wg.Go(func() {
			_, err := vm.Stream(t.Context(), modelRequest(fmt.Sprint("earlier-", i)), &recordingSink{start: time.Now()})
			gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
	wg.Wait()
	return vm
}

// startupWait is longer than a VM counts as just started.
const startupWait = 4 * time.Second

// keepPrompts puts the prompts of callers into the servers' caches, evenly.
func keepPrompts(engines *modelBackend, ids []string, callers []returning) {
	for i, c := range callers {
		e := engines.engines[ids[i%len(ids)]]
		e.mu.Lock()
		e.cachePrompt(modelRequest(c.name).Prompt)
		e.mu.Unlock()
	}
}

// Guards against prompts that are read again in vain: they take from callers whose prompt is kept the time that is left to them.
func TestPromptsReadAgainInVainDoNotDelayKeptOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ids := modelServers(12)
		engines := newModelBackend(t.Context(), ids, evenSpeed)
		var kept, unkept []returning
		for i := range 24 {
			kept = append(kept, returning{fmt.Sprint("kept-", i), 60, 2800 * time.Millisecond, time.Duration(100+5*i) * time.Millisecond})
		}
		for i := range 12 {
			unkept = append(unkept, returning{fmt.Sprint("unkept-", i), 10, 3500 * time.Millisecond, time.Duration(5*i) * time.Millisecond})
		}
		keepPrompts(engines, ids, kept)
		ends := comeBack(t, newMeasuredVM(t, engines, ids), append(unkept, kept...))
		whole := 0
		for _, c := range kept {
			if served(ends[c.name]) {
				whole++
			}
		}
		g.Expect(whole).To(gomega.Equal(len(kept)), "callers whose prompt is kept")
		for _, c := range unkept {
			g.Expect(refused(ends[c.name])).To(gomega.BeTrue(), c.name)
			g.Expect(ends[c.name].took).To(gomega.BeNumerically("<", 300*time.Millisecond), c.name)
		}
	})
}

// Guards against refusing a caller whose prompt is kept for the queue at its server, which its stream does not lengthen.
func TestCallerWithKeptPromptIsNotRefusedForAQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ids := modelServers(1)
		engines := newModelBackend(t.Context(), ids, evenSpeed)
		engines.length = func(id string) int {
			if id == "again-short" {
				return 82 // the shortest streams are 0.63 times as long as the mean
			}
			return 130
		}
		caller := returning{"short", 20, 3300 * time.Millisecond, 50 * time.Millisecond}
		keepPrompts(engines, ids, []returning{caller})
		vm := newMeasuredVM(t, engines, ids)
		var other sync.WaitGroup
		other.Go(func() {
			_, _ = vm.Stream(t.Context(), modelRequest("new"), &recordingSink{start: time.Now()})
		})
		ends := comeBack(t, vm, []returning{caller})
		other.Wait()
		g.Expect(ends["short"].failure).To(gomega.BeNil())
	})
}

// Guards against trials that measure nothing: the time of a prompt that may be kept says nothing of its server's speed.
func TestReturningCallerIsNotSentAsATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ids := modelServers(4)
		engines := newModelBackend(t.Context(), ids, evenSpeed)
		vm := newMeasuredVM(t, engines, ids)
		time.Sleep(2 * trialInterval)
		caller := returning{"late", 10, 2500 * time.Millisecond, 0}
		g.Expect(refused(comeBack(t, vm, []returning{caller})["late"])).To(gomega.BeTrue())
	})
}
