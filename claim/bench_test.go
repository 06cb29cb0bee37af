package claim_test

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/gate"
	"github.com/pearyard/pearyard/plain"
	"github.com/pearyard/pearyard/types"
)

type instantService struct{}

func (instantService) Do(context.Context, plain.Call) (plain.Answer, error) {
	return plain.Answer{Status: 200, Body: []byte("done")}, nil
}

func (instantService) Healthy(context.Context) error { return nil }

// BenchmarkDo runs calls of concurrent callers through a router, a table whose
// commits take 5 ms, and a sidecar's gate, and saves their outcomes.
func BenchmarkDo(b *testing.B) {
	for _, callers := range []int{1, 16, 64, 256} {
		b.Run(strconv.Itoa(callers), func(b *testing.B) {
			table := newFakeTable()
			table.commitLatency = 5 * time.Millisecond
			net := &fakeNet{cut: map[string]bool{}, gates: map[string]*gate.Calls{
				"a": gate.NewCalls(gate.Options{Service: instantService{}, Incarnation: 1, MaxAttempts: 1 << 22}),
			}}
			c := claim.New(claim.Options{Table: table, Router: "r1", Sidecar: net})
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			go func() { _ = c.Run(ctx) }()
			pick := func([]string) (claim.Target, bool) {
				return claim.Target{BackendServer: "a", Process: "a", Address: "a", Incarnation: types.Incarnation(1)}, true
			}
			var next, failed atomic.Int64
			b.ReportAllocs()
			b.ResetTimer()
			done := make(chan struct{})
			for range callers {
				go func() {
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						if _, refusal := c.Do(ctx, newCall(fmt.Sprint(i), "lorry"), pick); refusal != nil {
							failed.Add(1)
						}
					}
					done <- struct{}{}
				}()
			}
			for range callers {
				<-done
			}
			b.StopTimer()
			for c.Dump().(claim.Dump).QueuedSaves > 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(4 * claim.DefaultSaveBatchDelay)
			saved := 0
			for _, record := range table.claims() {
				if record.State == claim.RecordCompleted {
					saved++
				}
			}
			b.ReportMetric(float64(saved)/float64(b.N), "saved/call")
			b.ReportMetric(float64(b.N)/float64(table.commits.Load()), "calls/commit")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}

// BenchmarkNext measures the decisions for a call without faults.
func BenchmarkNext(b *testing.B) {
	for b.Loop() {
		s, _ := claim.Begin(1, 1)
		s, _ = claim.Next(s, claim.Observation{Result: claim.ResultCommitted})
		_, _ = claim.Next(s, claim.Observation{Result: claim.ResultCompleted})
	}
}

// BenchmarkEncode measures the encoding of a row's value, and its size.
func BenchmarkEncode(b *testing.B) {
	record := claim.Record{
		State: claim.RecordClaimed, Attempt: 1 << 31, Router: "errol-shed-router-1",
		Target:   claim.Target{BackendServer: "depot-apps-1", Process: "errol-shed-1", Address: "10.0.0.1:7000", Incarnation: types.NewIncarnation(time.Now())},
		Deadline: time.Now(), Fingerprint: 1 << 63,
	}
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		value, _ := record.Encode()
		size = len(value)
	}
	b.ReportMetric(float64(size), "bytes/row")
}
