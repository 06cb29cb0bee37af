package config

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	configpb "github.com/pearyard/pearyard/rpc/config"
	"github.com/pearyard/pearyard/types"
)

// PushResult counts the outcomes of pushing one revision.
type PushResult struct {
	Revision types.Revision `json:"revision"`
	Reached  int64          `json:"reached"` // processes that have the revision now
	Behind   int64          `json:"behind"`  // processes that will fetch it
	Failed   int64          `json:"failed"`  // processes that didn't respond; they learn of it from stamps and polls
}

// Pusher sends the revision in force to other processes after it was accepted
// here, so that they get it at once instead of with the next request or poll.
type Pusher struct {
	syncer *Syncer
	client *Client
	self   string
}

// NewPusher returns a pusher; self is the address from which receivers can fetch
// the revision.
func NewPusher(syncer *Syncer, client *Client, self string) *Pusher {
	return &Pusher{syncer: syncer, client: client, self: self}
}

// Push sends the revision in force to the given processes, at most PushConcurrency
// at a time. The order is random, so that processes that accept revisions one after
// another don't all start with the same receivers.
func (p *Pusher) Push(ctx context.Context, addrs []string) PushResult {
	holder := p.syncer.opts.Holder
	result := PushResult{Revision: holder.Revision()}
	if result.Revision == 0 {
		return result
	}
	// Most receivers have the previous revision; those that can't apply a delta to it fetch
	// the new one. Without a delta, the payload is the full configuration.
	payload, err := holder.payload(result.Revision - 1)
	if err != nil {
		result.Failed = int64(len(addrs))
		return result
	}
	var group errgroup.Group
	group.SetLimit(p.syncer.opts.PushConcurrency)
	for _, i := range rand.Perm(len(addrs)) {
		group.Go(func() error {
			p.pushTo(ctx, addrs[i], payload, &result)
			return nil
		})
	}
	_ = group.Wait()
	p.syncer.opts.Recorder.Emit(EventPushed, "revision", result.Revision,
		"reached", result.Reached, "behind", result.Behind, "failed", result.Failed)
	return result
}

func (p *Pusher) pushTo(ctx context.Context, addr string, payload *configpb.Payload, result *PushResult) {
	ctx, cancel := context.WithTimeout(ctx, p.syncer.opts.ShortTimeout)
	defer cancel()
	rev, err := p.client.push(ctx, addr, p.self, payload)
	pushes := p.syncer.metrics.pushes
	switch {
	case err != nil:
		atomic.AddInt64(&result.Failed, 1)
		pushes.WithLabelValues("error").Inc()
	case rev < result.Revision:
		atomic.AddInt64(&result.Behind, 1)
		pushes.WithLabelValues("behind").Inc()
	default:
		atomic.AddInt64(&result.Reached, 1)
		pushes.WithLabelValues("taken").Inc()
	}
}
