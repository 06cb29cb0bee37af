package tokenlog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/rpc/journal"
	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

var errUnreachable = errors.New("connection refused")

// cluster is a set of stores behind a simulated network that can be cut, slow, or lose the
// reply of an append that took effect.
type cluster struct {
	mu        sync.Mutex
	stores    map[string]*Store
	cut       map[string]bool
	delay     map[string]time.Duration
	loseReply map[string]int
	appends   int
}

func newCluster(addrs ...string) *cluster {
	c := &cluster{
		stores: map[string]*Store{}, cut: map[string]bool{}, delay: map[string]time.Duration{}, loseReply: map[string]int{},
	}
	for _, a := range addrs {
		c.restart(a)
	}
	return c
}

func (c *cluster) restart(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stores[addr] = NewStore(StoreOptions{})
}

func (c *cluster) setCut(addr string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[addr] = cut
}

func (c *cluster) appendCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.appends
}

func (c *cluster) connect(ctx context.Context, addr string) (*Store, error) {
	c.mu.Lock()
	store, cut, delay := c.stores[addr], c.cut[addr], c.delay[addr]
	c.mu.Unlock()
	if cut || store == nil {
		return nil, errUnreachable
	}
	if err := retry.Wait(ctx, delay); err != nil {
		return nil, err
	}
	return store, nil
}

func (c *cluster) Append(ctx context.Context, addr string, in *streampb.JournalAppend) (*streampb.JournalAppended, error) {
	store, err := c.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	out := store.Append(in)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appends++
	if c.loseReply[addr] > 0 {
		c.loseReply[addr]--
		return nil, errUnreachable
	}
	return out, nil
}

func (c *cluster) Lookup(ctx context.Context, addr string, in *streampb.LookupRequest) (*streampb.LookupResponse, error) {
	store, err := c.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	return store.Lookup(in)
}

func (c *cluster) Read(ctx context.Context, addr string, in *journalpb.ReadRequest) (*journalpb.ReadResponse, error) {
	store, err := c.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	return store.Read(in)
}

// token returns the token that an attempt produces at an index.
func token(a types.AttemptTag, i int) types.Token {
	return types.Token{ID: uint32(a)<<16 | uint32(i), Text: fmt.Sprintf(" a%d-%d", a, i)}
}

// expectedTokens returns the first n tokens of a lineage's answer.
func expectedTokens(l types.Lineage, n int) []types.Token {
	out := make([]types.Token, n)
	for i := range out {
		out[i] = token(producer(l, i), i)
	}
	return out
}

// producer returns the attempt that produced the token at index i.
func producer(l types.Lineage, i int) types.AttemptTag {
	tag := types.AttemptTag(0)
	for _, s := range l {
		if s.From <= i {
			tag = s.Attempt
		}
	}
	return tag
}

// record returns a journal record with the n tokens of a lineage's answer from index first
// on.
func record(id types.GenerationID, l types.Lineage, first, n int) *streampb.JournalRecord {
	r := &streampb.JournalRecord{Generation: id.String(), Lineage: lineageToWire(l), First: uint32(first), Runner: "runner"}
	for i := first; i < first+n; i++ {
		t := token(producer(l, i), i)
		r.Tokens = append(r.Tokens, &streampb.Token{Id: t.ID, Text: t.Text})
	}
	return r
}

// send appends records to a store and returns the generations that the store reports as
// missing.
func send(s *Store, records ...*streampb.JournalRecord) []string {
	return s.Append(&streampb.JournalAppend{From: "w", Records: records}).GetMissing()
}

// lineage returns a lineage of segments, each given as an attempt and its start index.
func lineage(segments ...int) types.Lineage {
	var l types.Lineage
	for i := 0; i < len(segments); i += 2 {
		l = append(l, types.Segment{Attempt: types.AttemptTag(segments[i]), From: segments[i+1]})
	}
	return l
}

// seenUpTo returns the event ID of a caller whose last token is that of attempt a at index
// i.
func seenUpTo(id types.GenerationID, a types.AttemptTag, i int) types.EventID {
	return types.EventID{Generation: id, Attempt: a, Index: i}
}
