package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// second is a revision of the second era.
func second(revision uint64) types.Position { return types.NewPosition(1, revision) }

// listed returns listings of servers; those named in draining are to leave.
func listed(draining string, ids ...string) []Listing {
	var list []Listing
	for i, id := range ids {
		list = append(list, Listing{ID: id, Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "a", Slots: 8, Draining: id == draining})
	}
	return list
}

// Guards against a list that is ignored since the store, back from a copy, has a smaller
// revision than before, and against a late one of the era before.
func TestListOfLaterEraIsNewer(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New()
	d.Apply(60, listed("", "a", "b"), false, time.Now())
	d.Apply(second(45), listed("a", "a", "b"), true, time.Now())
	g.Expect(d.View().byID["a"].Draining()).To(gomega.BeTrue())
	g.Expect(d.Apply(61, listed("", "a"), false, time.Now()).Ignored).To(gomega.BeTrue(), "a late answer")
	g.Expect(d.View().Len()).To(gomega.Equal(2))
}

// Guards against changes sent to a peer that knows more of the era before than this process
// did: what it knows in addition would stay there unnoticed. Nor may the span of the list in
// force reach into that era.
func TestChangesAcrossErasBeginAtAKnownList(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New()
	d.Apply(40, listed("", "a"), false, time.Now())
	d.Apply(50, listed("", "a", "b"), false, time.Now())
	d.Advance(55)
	d.Apply(second(45), listed("", "a", "b"), false, time.Now())
	d.Apply(second(47), listed("", "a", "b", "c"), false, time.Now())
	for _, since := range []types.Position{45, 55, second(45)} {
		to, _, _, ok := d.ChangesSince(since)
		g.Expect(ok).To(gomega.BeTrue(), "since %v", since)
		g.Expect(to).To(gomega.Equal(second(47)))
	}
	_, _, _, ok := d.ChangesSince(56)
	g.Expect(ok).To(gomega.BeFalse(), "a list that this process has not seen")
	g.Expect(d.View().UnchangedSince).To(gomega.Equal(second(47)))
	d.Apply(types.NewPosition(3, 47), listed("", "a", "b", "c"), false, time.Now())
	g.Expect(d.View().UnchangedSince).To(gomega.Equal(types.NewPosition(3, 47)))
	_, _, _, ok = d.ChangesSince(types.NewPosition(2, 47))
	g.Expect(ok).To(gomega.BeFalse(), "an era that this process has not seen")
}

// Guards against servers that are dropped at once since the copy lacks their entries, though
// this process never saw the store away, and against ones that are kept for ever.
func TestServersMissingFromACopyAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := &fakeStore{}
		f := &Follower{Directory: New(), Source: store, Recorder: event.Discard()}
		store.set(60, listed("", "a", "b"), nil, false)
		go func() { _ = f.Run(t.Context()) }()
		time.Sleep(5 * time.Second)
		g.Expect(f.Settled()).To(gomega.BeTrue())
		store.set(second(45), listed("", "a"), nil, true)
		time.Sleep(1800 * time.Millisecond)
		g.Expect(f.Directory.View().Len()).To(gomega.Equal(2), "its server may write it again")
		g.Expect(f.Settled()).To(gomega.BeFalse())
		time.Sleep(3 * time.Second)
		g.Expect(f.Directory.View().Len()).To(gomega.Equal(1))
		g.Expect(f.Settled()).To(gomega.BeTrue())
		f.ApplyPeerList(types.NewPosition(2, 45), nil, true, "a peer that has just started")
		g.Expect(f.Directory.View().Len()).To(gomega.Equal(1))
	})
}

// Guards against a server that gets nothing for seconds although it has written its entry
// again: it was missing from the copy, and this process had dropped it.
func TestServerThatWritesItsEntryAgainIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New()
	d.Apply(60, listed("", "a", "b"), false, time.Now())
	d.Apply(second(45), listed("", "a"), false, time.Now())
	d.Apply(second(47), listed("", "a", "b"), false, time.Now())
	g.Expect(d.View().byID["b"].Draining()).To(gomega.BeFalse())
	d.Apply(second(50), listed("", "a"), false, time.Now())
	d.Apply(types.NewPosition(2, 48), listed("", "a", "b"), false, time.Now())
	g.Expect(d.View().byID["b"].Draining()).To(gomega.BeTrue(), "it left before the copy brought it back")
}
