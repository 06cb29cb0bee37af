package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// callsTimeout limits the duration of one round of calls.
const callsTimeout = 90 * time.Second

// loadOptions configure a round of concurrent generations.
type loadOptions struct {
	Calls       int           `json:"calls"`
	Tokens      int           `json:"tokens"`
	PromptWords int           `json:"prompt_words"`
	Ramp        time.Duration `json:"ramp"` // calls start at random times within it
	Seed        uint64        `json:"seed"`
	strategy    strategy
}

// load is a round of calls in progress.
type load struct {
	calls  []*call
	wait   sync.WaitGroup
	cancel context.CancelFunc
}

// newTransport returns a transport that keeps up to 2048 idle connections to a router, so
// that those of many concurrent calls are reused.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 2048, DisableCompression: true}
}

// startLoad starts the calls at the given routers.
func startLoad(ctx context.Context, routers []string, opts loadOptions) *load {
	ctx, cancel := context.WithTimeout(ctx, callsTimeout)
	random := rand.New(rand.NewPCG(opts.Seed, opts.Seed))
	client := &http.Client{Transport: newTransport()}
	l := &load{cancel: cancel}
	for i := range opts.Calls {
		c := &call{prompt: randomPrompt(random, opts.PromptWords), maxTokens: opts.Tokens, strategy: opts.strategy, routers: routers, first: i}
		delay := time.Duration(random.Int64N(int64(opts.Ramp) + 1))
		l.calls = append(l.calls, c)
		l.wait.Go(func() {
			time.Sleep(delay)
			c.run(ctx, client)
		})
	}
	return l
}

// join waits for the calls to end and returns them.
func (l *load) join() []*call {
	l.wait.Wait()
	l.cancel()
	return l.calls
}

// randomPrompt returns a prompt of random words, so that a prefix cache doesn't have it from
// another call.
func randomPrompt(random *rand.Rand, words int) string {
	var b strings.Builder
	for range words {
		fmt.Fprintf(&b, "word%06d ", random.IntN(1_000_000))
	}
	return b.String()
}
