package tokenlog

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// makeAppends returns the appends of one generation of n tokens, size tokens per append.
func makeAppends(id types.GenerationID, n, size int) []*streampb.JournalAppend {
	var out []*streampb.JournalAppend
	for first := 0; first < n; first += size {
		r := record(id, lineage(1, 0), first, min(size, n-first))
		for _, t := range r.Tokens {
			t.Text = " pear" // typical length of a token's text
		}
		out = append(out, &streampb.JournalAppend{From: "10.0.0.1:7070", Records: []*streampb.JournalRecord{r}})
	}
	return out
}

func BenchmarkStoreAppendPerToken(b *testing.B) {
	const tokens = 1024
	for _, size := range []int{1, 12, 128} {
		b.Run(fmt.Sprint("batch=", size), func(b *testing.B) {
			s, batches := NewStore(StoreOptions{}), makeAppends(types.NewGenerationID(1), tokens, size)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				for _, in := range batches {
					in.Records[0].Generation = types.GenerationID{Key: types.Key(i % 1000), Salt: 1}.String()
					in.Records[0].Finish = ""
					s.Append(in)
				}
				s.Append(&streampb.JournalAppend{Records: []*streampb.JournalRecord{{
					Generation: batches[0].Records[0].Generation, Lineage: batches[0].Records[0].Lineage, Forget: true,
				}}})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
		})
	}
}

// BenchmarkStoreMemory reports the heap memory per held token next to what the store
// accounts for.
func BenchmarkStoreMemory(b *testing.B) {
	const generations, tokens = 100, 2048
	for b.Loop() {
		s := NewStore(StoreOptions{MaxBytes: 1 << 30})
		before := heapBytes()
		for g := range generations {
			for _, in := range makeAppends(types.GenerationID{Key: types.Key(g), Salt: 1}, tokens, 12) {
				s.Append(in)
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/(generations*tokens), "heapB/token")
		b.ReportMetric(float64(s.Dump().Bytes)/(generations*tokens), "accountedB/token")
		runtime.KeepAlive(s)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkStoreRead(b *testing.B) {
	s, id := NewStore(StoreOptions{}), types.NewGenerationID(1)
	for _, in := range makeAppends(id, 2048, 128) {
		s.Append(in)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Tokens(seenUpTo(id, 1, 2000)); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkStoreLookup(b *testing.B) {
	s := NewStore(StoreOptions{})
	for k := range types.Key(10_000) {
		send(s, record(types.NewGenerationID(k), lineage(1, 0), 0, 0))
	}
	b.ReportAllocs()
	for i := range b.N {
		_, _ = s.Lookup(&streampb.LookupRequest{Key: uint64(i % 10_000)})
	}
}

func BenchmarkHandleAppend(b *testing.B) {
	w := NewWriter(WriterOptions{Self: "self", Sender: newCluster(), MinAge: time.Hour, MaxBytes: 1 << 40})
	defer w.Close()
	h := w.Start(GenerationInfo{ID: types.NewGenerationID(1), Lineage: lineage(1, 0)})
	tok := types.Token{ID: 7, Text: " pear"}
	b.ReportAllocs()
	for b.Loop() {
		h.Append(tok)
	}
}

// countingSender is a Sender that only counts what it is given.
type countingSender struct {
	mu                     sync.Mutex
	appends, bytes, tokens int
}

func (c *countingSender) Append(_ context.Context, _ string, in *streampb.JournalAppend) (*streampb.JournalAppended, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appends++
	c.bytes += proto.Size(in)
	for _, r := range in.Records {
		c.tokens += len(r.Tokens)
	}
	return &streampb.JournalAppended{}, nil
}

// TestWireCost measures the network cost of journalling in virtual time, and fails if a
// token and copy cost more than 20 bytes at the default batch interval. 30 generations run
// beside one sidecar, each producing a token every 44 ms, with two copies, either all on
// the same two peers (a small site) or each on its own two (a large site).
func TestWireCost(t *testing.T) {
	for _, spread := range []bool{false, true} {
		for _, batch := range []time.Duration{10, 20, 50, 100, 500} {
			synctest.Test(t, func(t *testing.T) {
				c, seconds := &countingSender{}, 10
				w := NewWriter(WriterOptions{Self: "10.0.0.1:7070", Sender: c, BatchInterval: batch * time.Millisecond, MinAge: -1})
				for g := range 30 {
					peers := []string{"10.0.0.2:7070", "10.0.0.3:7070"}
					if spread {
						peers = []string{fmt.Sprintf("10.0.1.%d:7070", g), fmt.Sprintf("10.0.2.%d:7070", g)}
					}
					h := w.Start(GenerationInfo{ID: types.NewGenerationID(types.Key(g)), Lineage: lineage(1, 0), Peers: peers})
					go func() {
						time.Sleep(time.Duration(g) * 1400 * time.Microsecond) // spreads the starts over one token interval
						for i := range seconds * 1000 / 44 {
							h.Append(types.Token{ID: uint32(30_000 + i), Text: " pear"})
							time.Sleep(44 * time.Millisecond)
						}
					}()
				}
				time.Sleep(time.Duration(seconds+5) * time.Second)
				w.Close()
				perToken := float64(c.bytes) / float64(c.tokens)
				if batch == 500 && perToken > 20 {
					t.Errorf("%.1f bytes per token and copy at the default batch interval, want at most 20", perToken)
				}
				t.Logf("spread=%v batch=%4dms: %6.1f bytes/token and copy, %4.1f tokens/append, %6.0f appends/s",
					spread, batch, perToken, float64(c.tokens)/float64(c.appends), float64(c.appends)/float64(seconds))
			})
		}
	}
}
