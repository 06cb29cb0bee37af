package config_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/config"
	"github.com/pearyard/pearyard/types"
)

// silentVersions is a store that answers nothing.
type silentVersions struct{}

func (silentVersions) Head(ctx context.Context) (config.Head, error) {
	<-ctx.Done()
	return config.Head{}, ctx.Err()
}

func (silentVersions) Load(ctx context.Context, _ types.Revision) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// frozenAndSound are two peers of which one does not answer.
type frozenAndSound struct{}

func (frozenAndSound) Fetch(ctx context.Context, from string, _ types.Revision) (types.Revision, []byte, error) {
	if from == "frozen" {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	return 2, textOf(2), nil
}

func (frozenAndSound) Peek(context.Context, string) (types.Revision, error) { return 2, nil }

// The store falls silent just after it has accepted a text. A process that is
// polling it hears of the text from a peer, which freezes, and all the while from
// another one. The poll, the question to the frozen peer and another poll are
// waited out one after the other before the sound peer is asked: the text is in
// force six seconds after it was accepted, where four are promised.
func TestSilentStoreAndFrozenPeerDoNotHoldATextUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		holder := newHolder()
		offer(t, holder, 1, textOf(1))
		s := spreader(holder, silentVersions{}, frozenAndSound{})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		began := time.Now()
		time.Sleep(10 * time.Millisecond)
		s.Seen("frozen", 2)
		for holder.Revision() < 2 && time.Since(began) < 20*time.Second {
			time.Sleep(100 * time.Millisecond)
			s.Seen("sound", 2)
		}
		took := time.Since(began)
		cancel()
		<-done
		g.Expect(took).To(BeNumerically("<=", 4*time.Second))
	})
}
