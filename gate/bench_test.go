package gate_test

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pearyard/pearyard/gate"
	"github.com/pearyard/pearyard/plain"
	streampb "github.com/pearyard/pearyard/rpc/stream"
)

type instantService struct{}

func (instantService) Do(context.Context, plain.Call) (plain.Answer, error) {
	return plain.Answer{Status: 200}, nil
}

func (instantService) Healthy(context.Context) error { return nil }

// BenchmarkCall measures the gate's own cost of a call, with a service that answers at once.
func BenchmarkCall(b *testing.B) {
	for _, atMostOnce := range []bool{false, true} {
		b.Run(fmt.Sprintf("at_most_once=%v", atMostOnce), func(b *testing.B) {
			c := gate.NewCalls(gate.Options{Service: instantService{}, Incarnation: ownIncarnation, MaxAttempts: 1 << 24})
			deadline := time.Now().Add(time.Minute)
			var n atomic.Uint32
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					i := n.Add(1)
					req := call(fmt.Sprintf("claim/depot-apps/inch/%032x", i), i, deadline)
					req.AtMostOnce = atMostOnce
					if c.Call(b.Context(), req).GetOutcome() != streampb.CallOutcome_CALL_COMPLETED {
						b.Error("not completed")
					}
				}
			})
		})
	}
}

// BenchmarkMemory measures the size of a remembered attempt with an empty answer, and of
// a tombstone.
func BenchmarkMemory(b *testing.B) {
	const attempts = 1 << 18
	for _, kind := range []string{"completed", "tombstone"} {
		b.Run(kind, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(heapGrowth(b, kind, attempts))/attempts, "bytes/attempt")
			}
		})
	}
}

func heapGrowth(b *testing.B, kind string, attempts int) uint64 {
	before := heapBytes()
	c := gate.NewCalls(gate.Options{Service: instantService{}, Incarnation: ownIncarnation, MaxAttempts: 2 * attempts})
	deadline := time.Now().Add(time.Minute)
	for i := range attempts {
		key := fmt.Sprintf("claim/depot-apps/inch/%032x", i)
		if kind == "tombstone" {
			c.Void(b.Context(), void(key, 1, deadline))
			continue
		}
		c.Call(b.Context(), call(key, 1, deadline))
	}
	after := heapBytes()
	runtime.KeepAlive(c)
	return after - before
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
