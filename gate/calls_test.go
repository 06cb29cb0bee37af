package gate_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/gate"
	"github.com/pearyard/pearyard/plain"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

const ownIncarnation = 7 // of the gates under test

type fakeService struct {
	runs  atomic.Int64
	delay time.Duration
	err   error
	size  int
}

func (s *fakeService) Do(ctx context.Context, _ plain.Call) (plain.Answer, error) {
	s.runs.Add(1)
	select {
	case <-time.After(s.delay):
		return plain.Answer{Status: 200, Body: make([]byte, s.size)}, s.err
	case <-ctx.Done():
		return plain.Answer{}, plain.ErrResponseLost
	}
}

func (s *fakeService) Healthy(context.Context) error { return nil }

func call(key string, attempt uint32, deadline time.Time) *streampb.CallRequest {
	return &streampb.CallRequest{
		Claim: claim.Ref{Key: key, Deadline: deadline}.String(), Attempt: attempt, Incarnation: ownIncarnation,
		DeadlineUnixMs: deadline.UnixMilli(), AtMostOnce: true, Method: "POST", Path: "/",
	}
}

func void(key string, attempt uint32, deadline time.Time) *streampb.VoidRequest {
	return &streampb.VoidRequest{Claim: claim.Ref{Key: key, Deadline: deadline}.String(), Attempt: attempt, Incarnation: ownIncarnation}
}

func expectResponse(t *testing.T, resp *streampb.CallResponse, outcome streampb.CallOutcome, code types.Code) {
	t.Helper()
	g := gomega.NewWithT(t)
	g.Expect(resp.GetOutcome()).To(gomega.Equal(outcome))
	g.Expect(resp.GetCode()).To(gomega.Equal(string(code)))
	g.Expect(resp.GetIncarnation()).To(gomega.BeEquivalentTo(ownIncarnation))
}

const (
	completed = streampb.CallOutcome_CALL_COMPLETED
	notRun    = streampb.CallOutcome_CALL_NOT_RUN
	unknown   = streampb.CallOutcome_CALL_UNKNOWN
	running   = streampb.CallOutcome_CALL_RUNNING
)

// A dispatch arrives after its deadline or its void, for another incarnation of the
// sidecar, malformed, or during a stop. It is refused as not run, with the reason.
func TestRefusedCallsDoNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leaving atomic.Bool
		svc := &fakeService{delay: time.Second}
		c := gate.NewCalls(gate.Options{Service: svc, Incarnation: ownIncarnation, Leaving: leaving.Load})
		soon := time.Now().Add(10 * time.Second)

		other := call("claim/a", 1, soon)
		other.Incarnation = ownIncarnation - 1
		expectResponse(t, c.Call(t.Context(), other), notRun, types.CodeIncarnation)
		expectResponse(t, c.Call(t.Context(), call("claim/a", 1, time.Now())), notRun, types.CodeDeadline)
		expectResponse(t, c.Void(t.Context(), void("claim/a", 1, soon)), notRun, types.CodeTombstone)
		expectResponse(t, c.Call(t.Context(), call("claim/a", 1, soon)), notRun, types.CodeTombstone)
		malformed := call("claim/a", 2, soon)
		malformed.DeadlineUnixMs++
		expectResponse(t, c.Call(t.Context(), malformed), notRun, types.CodeBadRequest)
		leaving.Store(true)
		expectResponse(t, c.Call(t.Context(), call("claim/a", 3, soon)), notRun, types.CodeLeaving)
		gomega.NewWithT(t).Expect(svc.runs.Load()).To(gomega.BeZero())
		gomega.NewWithT(t).Expect(c.InFlight()).To(gomega.BeZero())
	})
}

// One attempt arrives three times at once, and its first caller leaves. It must run once,
// to its end, and the callers that still wait must get the answer.
func TestAttemptRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := &fakeService{delay: time.Second}
		c := gate.NewCalls(gate.Options{Service: svc, Incarnation: ownIncarnation})
		deadline := time.Now().Add(10 * time.Second)
		callerCtx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		expectResponse(t, c.Call(callerCtx, call("claim/a", 1, deadline)), running, types.CodeStillRunning)
		gomega.NewWithT(t).Expect(c.InFlight()).To(gomega.Equal(1))
		expectResponse(t, c.Void(t.Context(), void("claim/a", 1, deadline)), running, types.CodeStillRunning)
		var callers sync.WaitGroup
		for range 2 {
			callers.Go(func() { expectResponse(t, c.Call(t.Context(), call("claim/a", 1, deadline)), completed, "") })
		}
		callers.Wait()
		expectResponse(t, c.Void(t.Context(), void("claim/a", 1, deadline)), completed, "")
		gomega.NewWithT(t).Expect(svc.runs.Load()).To(gomega.BeEquivalentTo(1))
		gomega.NewWithT(t).Expect(c.InFlight()).To(gomega.BeZero())
	})
}

// The service refuses the connection, or breaks it during the call. The first proves that
// nothing ran, the second doesn't, and repeated requests must get the same answers.
func TestServiceFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deadline := time.Now().Add(10 * time.Second)
		refusing := gate.NewCalls(gate.Options{Service: &fakeService{err: errors.Wrap(plain.ErrNotSent, "refused")}, Incarnation: ownIncarnation})
		breaking := gate.NewCalls(gate.Options{Service: &fakeService{err: plain.ErrResponseLost}, Incarnation: ownIncarnation})
		for range 2 {
			expectResponse(t, refusing.Call(t.Context(), call("claim/a", 1, deadline)), notRun, types.CodeNoBackend)
			expectResponse(t, refusing.Void(t.Context(), void("claim/a", 1, deadline)), notRun, types.CodeTombstone)
			expectResponse(t, breaking.Call(t.Context(), call("claim/a", 1, deadline)), unknown, types.CodeUnknownOutcome)
			expectResponse(t, breaking.Void(t.Context(), void("claim/a", 1, deadline)), unknown, types.CodeUnknownOutcome)
		}
	})
}

// A router asks about an attempt that ran and was forgotten. The answer must not be "not
// run", or the call would run again. A call that arrives after its tombstone was forgotten
// must be refused even if the clock has stepped back.
func TestForgottenAttemptsAreUnknown(t *testing.T) {
	now := time.Unix(10000, 0)
	c := gate.NewCalls(gate.Options{Service: &fakeService{}, Incarnation: ownIncarnation, Clock: func() time.Time { return now }})
	deadline := now.Add(10 * time.Second)
	expectResponse(t, c.Call(t.Context(), call("claim/a", 1, deadline)), completed, "")
	expectResponse(t, c.Void(t.Context(), void("claim/a", 2, deadline)), notRun, types.CodeTombstone)
	now = now.Add(gate.DefaultRetention + 20*time.Second)
	expectResponse(t, c.Void(t.Context(), void("claim/a", 1, deadline)), unknown, types.CodeUnknownOutcome)
	now = now.Add(-gate.DefaultRetention - 20*time.Second)
	expectResponse(t, c.Call(t.Context(), call("claim/a", 2, deadline)), notRun, types.CodeDeadline)
}

// An attempt runs long past its deadline. It must not be forgotten while it runs.
func TestRunningAttemptIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := gate.NewCalls(gate.Options{Service: &fakeService{delay: 20 * time.Second}, Incarnation: ownIncarnation, Retention: time.Second})
		deadline := time.Now().Add(2 * time.Second)
		callerCtx, cancel := context.WithDeadline(t.Context(), deadline)
		defer cancel()
		expectResponse(t, c.Call(callerCtx, call("claim/a", 1, deadline)), running, types.CodeStillRunning)
		time.Sleep(10 * time.Second)
		expectResponse(t, c.Void(t.Context(), void("claim/a", 1, deadline)), running, types.CodeStillRunning)
		time.Sleep(time.Minute)
		gomega.NewWithT(t).Expect(c.InFlight()).To(gomega.BeZero())
	})
}

// The memory of attempts is full. New calls are refused as not run, and a void that can't
// store its tombstone is answered with "unknown".
func TestFullMemory(t *testing.T) {
	now := time.Unix(10000, 0)
	svc := &fakeService{}
	c := gate.NewCalls(gate.Options{Service: svc, Incarnation: ownIncarnation, MaxAttempts: 16, Clock: func() time.Time { return now }}) // one per shard
	deadline := now.Add(10 * time.Second)
	expectResponse(t, c.Call(t.Context(), call("claim/a", 1, deadline)), completed, "")
	expectResponse(t, c.Call(t.Context(), call("claim/a", 2, deadline)), notRun, types.CodeOverloaded)
	expectResponse(t, c.Void(t.Context(), void("claim/a", 3, deadline)), unknown, types.CodeOverloaded)
	gomega.NewWithT(t).Expect(svc.runs.Load()).To(gomega.BeEquivalentTo(1))
	now = deadline.Add(time.Millisecond) // ended attempts make room
	expectResponse(t, c.Call(t.Context(), call("claim/a", 4, now.Add(time.Second))), completed, "")
}

// The answers exceed their limit. The oldest ones are dropped, but their calls are still
// known to have completed.
func TestAnswersAreBounded(t *testing.T) {
	svc := &fakeService{size: 1000}
	c := gate.NewCalls(gate.Options{Service: svc, Incarnation: ownIncarnation, MaxAnswerBytes: 16 * 2500}) // two answers per shard
	deadline := time.Now().Add(10 * time.Second)
	for i := range 5 {
		expectResponse(t, c.Call(t.Context(), call("claim/a", uint32(i+1), deadline)), completed, "")
	}
	g := gomega.NewWithT(t)
	g.Expect(c.Dump().(gate.Dump).AnswerBytes).To(gomega.Equal(2000))
	dropped := c.Void(t.Context(), void("claim/a", 1, deadline))
	expectResponse(t, dropped, completed, "")
	g.Expect(dropped.GetStatus()).To(gomega.BeZero())
	g.Expect(c.Void(t.Context(), void("claim/a", 5, deadline)).GetBody()).To(gomega.HaveLen(1000))
}

// Repeatable calls are not remembered, and are refused when the backend server leaves.
func TestRepeatableCalls(t *testing.T) {
	var leaving atomic.Bool
	c := gate.NewCalls(gate.Options{Service: &fakeService{}, Incarnation: ownIncarnation, Leaving: leaving.Load})
	req := &streampb.CallRequest{Method: "GET", Path: "/stock"}
	expectResponse(t, c.Call(t.Context(), req), completed, "")
	gomega.NewWithT(t).Expect(c.Dump().(gate.Dump).Attempts).To(gomega.BeEmpty())
	late := &streampb.CallRequest{Method: "GET", Path: "/stock", DeadlineUnixMs: time.Now().UnixMilli()}
	expectResponse(t, c.Call(t.Context(), late), notRun, types.CodeDeadline)
	leaving.Store(true)
	expectResponse(t, c.Call(t.Context(), req), notRun, types.CodeLeaving)
}

// Many routers dispatch and void the same attempts at once. An attempt that was reported
// as not run must never run.
func TestCallsAndVoidsRace(t *testing.T) {
	svc := &fakeService{}
	c := gate.NewCalls(gate.Options{Service: svc, Incarnation: ownIncarnation})
	deadline := time.Now().Add(time.Minute)
	var ran, voided atomic.Int64
	var routers sync.WaitGroup
	for i := range 500 {
		key := fmt.Sprintf("claim/%d", i)
		routers.Go(func() {
			if c.Call(t.Context(), call(key, 1, deadline)).GetOutcome() == completed {
				ran.Add(1)
			}
		})
		routers.Go(func() {
			if c.Void(t.Context(), void(key, 1, deadline)).GetOutcome() == notRun {
				voided.Add(1)
			}
		})
	}
	routers.Wait()
	g := gomega.NewWithT(t)
	g.Expect(ran.Load()).To(gomega.Equal(svc.runs.Load()))
	g.Expect(ran.Load() + voided.Load()).To(gomega.BeEquivalentTo(500))
}
