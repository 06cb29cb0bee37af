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

const own = 7 // incarnation of the gates under test

type service struct {
	runs atomic.Int64
	took time.Duration
	err  error
	size int
}

func (s *service) Do(ctx context.Context, _ plain.Call) (plain.Answer, error) {
	s.runs.Add(1)
	select {
	case <-time.After(s.took):
		return plain.Answer{Status: 200, Body: make([]byte, s.size)}, s.err
	case <-ctx.Done():
		return plain.Answer{}, plain.ErrLost
	}
}

func (s *service) Healthy(context.Context) error { return nil }

func call(key string, attempt uint32, deadline time.Time) *streampb.CallRequest {
	return &streampb.CallRequest{
		Claim: claim.Ref{Key: key, Deadline: deadline}.String(), Attempt: attempt, Incarnation: own,
		DeadlineUnixMs: deadline.UnixMilli(), AtMostOnce: true, Method: "POST", Path: "/",
	}
}

func void(key string, attempt uint32, deadline time.Time) *streampb.VoidRequest {
	return &streampb.VoidRequest{Claim: claim.Ref{Key: key, Deadline: deadline}.String(), Attempt: attempt, Incarnation: own}
}

func expect(t *testing.T, resp *streampb.CallResponse, outcome streampb.CallOutcome, code types.Code) {
	t.Helper()
	g := gomega.NewWithT(t)
	g.Expect(resp.GetOutcome()).To(gomega.Equal(outcome))
	g.Expect(resp.GetCode()).To(gomega.Equal(string(code)))
	g.Expect(resp.GetIncarnation()).To(gomega.BeEquivalentTo(own))
}

const (
	completed = streampb.CallOutcome_CALL_COMPLETED
	notRun    = streampb.CallOutcome_CALL_NOT_RUN
	unknown   = streampb.CallOutcome_CALL_UNKNOWN
	running   = streampb.CallOutcome_CALL_RUNNING
)

// A dispatch comes late, twice, for another run of the sidecar, or into a stop.
// The caller hears "not run" or the one answer; the service ran at most once.
func TestCallsAreRefusedForTheirReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leaving atomic.Bool
		svc := &service{took: time.Second}
		c := gate.NewCalls(gate.Options{Service: svc, Incarnation: own, Leaving: leaving.Load})
		soon := time.Now().Add(10 * time.Second)

		other := call("claim/a", 1, soon)
		other.Incarnation = own - 1
		expect(t, c.Call(t.Context(), other), notRun, types.CodeIncarnation)
		expect(t, c.Call(t.Context(), call("claim/a", 1, time.Now())), notRun, types.CodeDeadline)
		expect(t, c.Void(t.Context(), void("claim/a", 1, soon)), notRun, types.CodeTombstone)
		expect(t, c.Call(t.Context(), call("claim/a", 1, soon)), notRun, types.CodeTombstone)
		malformed := call("claim/a", 2, soon)
		malformed.DeadlineUnixMs++
		expect(t, c.Call(t.Context(), malformed), notRun, types.CodeBadRequest)
		leaving.Store(true)
		expect(t, c.Call(t.Context(), call("claim/a", 3, soon)), notRun, types.CodeLeaving)
		gomega.NewWithT(t).Expect(svc.runs.Load()).To(gomega.BeZero())
		gomega.NewWithT(t).Expect(c.InFlight()).To(gomega.BeZero())
	})
}

// One attempt arrives three times at once, and its first caller leaves. It runs
// once, to its end, and all who still wait get the answer.
func TestAnAttemptRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := &service{took: time.Second}
		c := gate.NewCalls(gate.Options{Service: svc, Incarnation: own})
		deadline := time.Now().Add(10 * time.Second)
		leaves, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		expect(t, c.Call(leaves, call("claim/a", 1, deadline)), running, types.CodeStillRunning)
		gomega.NewWithT(t).Expect(c.InFlight()).To(gomega.Equal(1))
		expect(t, c.Void(t.Context(), void("claim/a", 1, deadline)), running, types.CodeStillRunning)
		var callers sync.WaitGroup
		for range 2 {
			callers.Go(func() { expect(t, c.Call(t.Context(), call("claim/a", 1, deadline)), completed, "") })
		}
		callers.Wait()
		expect(t, c.Void(t.Context(), void("claim/a", 1, deadline)), completed, "")
		gomega.NewWithT(t).Expect(svc.runs.Load()).To(gomega.BeEquivalentTo(1))
		gomega.NewWithT(t).Expect(c.InFlight()).To(gomega.BeZero())
	})
}

// The service refuses the connection, or breaks it half-way. The first is a
// proof, the second is not, and both stay so however often one asks.
func TestServiceWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deadline := time.Now().Add(10 * time.Second)
		refusing := gate.NewCalls(gate.Options{Service: &service{err: errors.Wrap(plain.ErrNotSent, "refused")}, Incarnation: own})
		breaking := gate.NewCalls(gate.Options{Service: &service{err: plain.ErrLost}, Incarnation: own})
		for range 2 {
			expect(t, refusing.Call(t.Context(), call("claim/a", 1, deadline)), notRun, types.CodeNoBackend)
			expect(t, refusing.Void(t.Context(), void("claim/a", 1, deadline)), notRun, types.CodeTombstone)
			expect(t, breaking.Call(t.Context(), call("claim/a", 1, deadline)), unknown, types.CodeUnknownOutcome)
			expect(t, breaking.Void(t.Context(), void("claim/a", 1, deadline)), unknown, types.CodeUnknownOutcome)
		}
	})
}

// A label was printed long ago and its attempt is forgotten. A caller comes
// back with its key: "never seen, not run" would print it again. A call that
// wakes after its tombstone is forgotten is stopped even if the clock steps back.
func TestForgottenAttemptsStayUnknown(t *testing.T) {
	now := time.Unix(10000, 0)
	c := gate.NewCalls(gate.Options{Service: &service{}, Incarnation: own, Clock: func() time.Time { return now }})
	deadline := now.Add(10 * time.Second)
	expect(t, c.Call(t.Context(), call("claim/a", 1, deadline)), completed, "")
	expect(t, c.Void(t.Context(), void("claim/a", 2, deadline)), notRun, types.CodeTombstone)
	now = now.Add(gate.DefaultKeep + 20*time.Second)
	expect(t, c.Void(t.Context(), void("claim/a", 1, deadline)), unknown, types.CodeUnknownOutcome)
	now = now.Add(-gate.DefaultKeep - 20*time.Second)
	expect(t, c.Call(t.Context(), call("claim/a", 2, deadline)), notRun, types.CodeDeadline)
}

// A label takes long past its deadline to print. It isn't forgotten while it
// runs, and its answer is there afterwards.
func TestRunningAttemptIsNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := gate.NewCalls(gate.Options{Service: &service{took: 20 * time.Second}, Incarnation: own, Keep: time.Second})
		deadline := time.Now().Add(2 * time.Second)
		leaves, cancel := context.WithDeadline(t.Context(), deadline)
		defer cancel()
		expect(t, c.Call(leaves, call("claim/a", 1, deadline)), running, types.CodeStillRunning)
		time.Sleep(10 * time.Second)
		expect(t, c.Void(t.Context(), void("claim/a", 1, deadline)), running, types.CodeStillRunning)
		time.Sleep(time.Minute)
		gomega.NewWithT(t).Expect(c.InFlight()).To(gomega.BeZero())
	})
}

// So many calls come that the memory of attempts is full. New ones are refused
// as not run, and a void that can't leave its tombstone promises nothing.
func TestFullMemory(t *testing.T) {
	now := time.Unix(10000, 0)
	svc := &service{}
	c := gate.NewCalls(gate.Options{Service: svc, Incarnation: own, MaxAttempts: 16, Clock: func() time.Time { return now }})
	deadline := now.Add(10 * time.Second)
	expect(t, c.Call(t.Context(), call("claim/a", 1, deadline)), completed, "")
	expect(t, c.Call(t.Context(), call("claim/a", 2, deadline)), notRun, types.CodeOverloaded)
	expect(t, c.Void(t.Context(), void("claim/a", 3, deadline)), unknown, types.CodeOverloaded)
	gomega.NewWithT(t).Expect(svc.runs.Load()).To(gomega.BeEquivalentTo(1))
	now = deadline.Add(time.Millisecond) // attempts that are over make room
	expect(t, c.Call(t.Context(), call("claim/a", 4, now.Add(time.Second))), completed, "")
}

// Answers take more room than there is. The oldest are dropped; that their
// calls ran is still known.
func TestAnswersAreBounded(t *testing.T) {
	svc := &service{size: 1000}
	c := gate.NewCalls(gate.Options{Service: svc, Incarnation: own, MaxAnswerBytes: 16 * 2500})
	deadline := time.Now().Add(10 * time.Second)
	for i := range 5 {
		expect(t, c.Call(t.Context(), call("claim/a", uint32(i+1), deadline)), completed, "")
	}
	g := gomega.NewWithT(t)
	g.Expect(c.Dump().(gate.Dump).AnswerBytes).To(gomega.Equal(2000))
	dropped := c.Void(t.Context(), void("claim/a", 1, deadline))
	expect(t, dropped, completed, "")
	g.Expect(dropped.GetStatus()).To(gomega.BeZero())
	g.Expect(c.Void(t.Context(), void("claim/a", 5, deadline)).GetBody()).To(gomega.HaveLen(1000))
}

// Repeatable calls leave no trace, and are refused when the server leaves.
func TestRepeatableCalls(t *testing.T) {
	var leaving atomic.Bool
	c := gate.NewCalls(gate.Options{Service: &service{}, Incarnation: own, Leaving: leaving.Load})
	req := &streampb.CallRequest{Method: "GET", Path: "/stock"}
	expect(t, c.Call(t.Context(), req), completed, "")
	gomega.NewWithT(t).Expect(c.Dump().(gate.Dump).Attempts).To(gomega.BeEmpty())
	late := &streampb.CallRequest{Method: "GET", Path: "/stock", DeadlineUnixMs: time.Now().UnixMilli()}
	expect(t, c.Call(t.Context(), late), notRun, types.CodeDeadline)
	leaving.Store(true)
	expect(t, c.Call(t.Context(), req), notRun, types.CodeLeaving)
}

// Many routers dispatch and void the same attempts at once. An attempt of which
// anyone heard "not run" never runs.
func TestCallsAndVoidsRace(t *testing.T) {
	svc := &service{}
	c := gate.NewCalls(gate.Options{Service: svc, Incarnation: own})
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
