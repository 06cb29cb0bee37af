package exchange

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/site"
)

// fillPlaces has slow calls take all places of the servers of one VM, until release.
func fillPlaces(m *placeSite) {
	for _, s := range m.servers {
		s.set(30, false)
	}
	for i := range len(m.servers) * (fewPlaces + 2) {
		m.call(m.vms[0], fmt.Sprint("full", i), site.AtMostOnce, 0)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * linkDelay)
}

// Calls wait by urgency, then by deadline.
func TestWaitingCallsGoByUrgencyAndDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	room := New(Options{Directory: directory.New()}).waitingRoom("s")
	now := time.Now()
	var order []string
	waiters := map[*waiter]string{}
	for _, w := range []struct {
		name     string
		urgency  int
		deadline time.Duration
	}{{"low", 2, 1}, {"high late", 0, 9}, {"middle", 1, 1}, {"high soon", 0, 5}, {"high later", 0, 9}} {
		waiter := &waiter{urgency: site.Urgency{Route: w.urgency}, deadline: now.Add(w.deadline * time.Second), latest: now.Add(time.Hour), ready: make(chan error, 1)}
		waiters[waiter] = w.name
		g.Expect(room.join(waiter, now)).To(gomega.BeTrue())
	}
	for _, w := range room.waiters {
		order = append(order, waiters[w])
	}
	g.Expect(order).To(gomega.Equal([]string{"high soon", "high late", "high later", "middle", "low"}))
	for len(room.waiters) < maxWaitingCalls {
		room.join(&waiter{ready: make(chan error, 1)}, now)
	}
	g.Expect(room.join(&waiter{ready: make(chan error, 1)}, now)).To(gomega.BeFalse(), "the queue is bounded")
	room.endAll(nil)
}

// waitingCall sends a call that waits for a place and returns how long it took and its outcome.
func waitingCall(ctx context.Context, vm *placeVM, deadline time.Duration) (time.Duration, error) {
	req := request(site.AtMostOnce)
	req.ID, req.Deadline, req.Route.Objective = "waits", req.Arrived.Add(deadline), fewObjective
	_, err := vm.Call(ctx, req)
	return time.Since(req.Arrived), err
}

// A wait ends at once when the caller leaves, and nothing is sent for it.
func TestCallerLeavesWhileItsCallWaits(t *testing.T) {
	playPlaces(t, 1, 1, func(g *gomega.WithT, m *placeSite) {
		fillPlaces(m)
		ctx, cancel := context.WithCancel(m.ctx)
		time.AfterFunc(40*time.Millisecond, cancel)
		took, err := waitingCall(ctx, m.vms[0], time.Second)
		var end *End
		g.Expect(errors.As(err, &end)).To(gomega.BeTrue(), "%v", err)
		g.Expect(end.By).To(gomega.Equal(EndedByCaller))
		g.Expect(took).To(gomega.Equal(40 * time.Millisecond))
		g.Expect(m.vms[0].dir.OwnPlaces(time.Now()).Waiting).To(gomega.BeEmpty())
		m.callers.Wait()
		g.Expect(m.servers["s0"].ids["waits"]).To(gomega.BeZero())
	})
}

// A call whose deadline comes before its objective is told that it has not run.
func TestDeadlineWhileACallWaits(t *testing.T) {
	playPlaces(t, 1, 1, func(g *gomega.WithT, m *placeSite) {
		fillPlaces(m)
		took, err := waitingCall(m.ctx, m.vms[0], 60*time.Millisecond)
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue(), "%v", err)
		g.Expect(failure.Ran).To(gomega.BeFalse())
		g.Expect(took).To(gomega.BeNumerically("<=", 60*time.Millisecond))
		m.callers.Wait()
		g.Expect(m.servers["s0"].ids["waits"]).To(gomega.BeZero())
	})
}

// A planned stop begins while calls wait: they are refused at once, and truthfully.
func TestStopWhileACallWaits(t *testing.T) {
	playPlaces(t, 1, 1, func(g *gomega.WithT, m *placeSite) {
		fillPlaces(m)
		time.AfterFunc(30*time.Millisecond, m.vms[0].dir.SetStopping)
		took, err := waitingCall(m.ctx, m.vms[0], time.Second)
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue(), "%v", err)
		g.Expect(failure.Ran).To(gomega.BeFalse())
		g.Expect(failure.By).To(gomega.Equal(EndedByStop))
		g.Expect(took).To(gomega.BeNumerically("<=", 30*time.Millisecond+placeCheckInterval))
		m.callers.Wait()
		g.Expect(m.servers["s0"].ids["waits"]).To(gomega.BeZero())
	})
}

// Where places aren't shared, a call to full servers is sent at once.
func TestNoCallWaitsWherePlacesAreNotShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newPlaceSite(t, false, 1, 1)
		defer m.close()
		fillPlaces(m)
		before := m.servers["s0"].held()
		m.call(m.vms[0], "c", site.AtMostOnce, 0)
		time.Sleep(2 * linkDelay)
		g.Expect(m.servers["s0"].held()).To(gomega.Equal(before + 1))
		m.callers.Wait()
	})
}

// Calls that a full server sheds have not run; they go on to another one once, and none runs
// twice. The VM is alone with calls that it does not know of, as one of an older release.
func TestShedCallsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newPlaceSite(t, true, 8, 3)
		defer m.close()
		m.loss.Store(100)
		m.load("c", 4*fewLoad, time.Second)
		r := m.result(time.Time{})
		g.Expect(r.failed).To(gomega.BeZero(), "%+v", r)
		g.Expect(m.runTwice()).To(gomega.BeEmpty())
	})
}

// All servers are full of calls that the VM does not know of. Its call is shed by each, and is
// refused as not run while there is time to come again; it is not left in a queue until its
// deadline.
func TestCallThatAllServersShed(t *testing.T) {
	playPlaces(t, 2, 2, func(g *gomega.WithT, m *placeSite) {
		m.loss.Store(100)
		for _, s := range m.servers {
			s.set(30, false)
			for range fewPlaces + fewQueue {
				m.callers.Go(func() {
					if s.enter(m.ctx) {
						s.run(m.ctx, "other")
						s.exit()
					}
				})
			}
		}
		time.Sleep(time.Millisecond)
		took, err := waitingCall(m.ctx, m.vms[1], fewDeadline)
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue(), "%v", err)
		g.Expect(failure.Ran).To(gomega.BeFalse())
		g.Expect(took).To(gomega.BeNumerically("<=", fewObjective))
		m.callers.Wait()
		g.Expect(m.runTwice()).To(gomega.ConsistOf("other"))
	})
}
