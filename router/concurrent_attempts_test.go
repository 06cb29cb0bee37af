package router_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// slowPrefill is the factor that makes the first step of a backend's engine take 800 ms.
const slowPrefill = 400

// Guards against two engines that work on one generation.
func TestGenerationIsNotWorkedOnTwice(t *testing.T) {
	t.Parallel()
	t.Run("the stalled engine resumes", testStalledEngineResumes)
	t.Run("the successor's first token is late", testLateTokenOfSuccessor)
	t.Run("a moving generation is prefilled for long", testLongPrefillWhileMoving)
}

// Guards against an engine that resumes a stalled generation beside the one that was asked to take it over.
func testStalledEngineResumes(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	cl := newCluster(t)
	work := monitorWork(cl.backends)
	got := generate(t, cl.url, 600, func(index int) {
		if index == 100 {
			current := cl.runningBackend()
			other := cl.otherBackend(current)
			other.engine.SetSlowdown(slowPrefill)
			current.engine.Hold()
			go func() {
				for other.sidecar.InFlight() == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(600 * time.Millisecond)
				current.engine.Release()
				other.engine.SetSlowdown(1)
			}()
		}
	})
	got.expectComplete(g, 600)
	g.Expect(work.longestOverlap()).To(BeNumerically("<", maxConcurrentWork))
}

// Guards against a stalled attempt that is kept until its successor has prefilled the prompt.
func testLateTokenOfSuccessor(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	cl := newCluster(t)
	work := monitorWork(cl.backends)
	var current *backend
	got := generate(t, cl.url, 200, func(index int) {
		switch index {
		case 100:
			current = cl.runningBackend()
			cl.otherBackend(current).engine.SetSlowdown(slowPrefill)
			current.engine.Hold()
			t.Cleanup(current.engine.Release)
		case 101:
			cl.otherBackend(current).engine.SetSlowdown(1)
		}
	})
	got.expectComplete(g, 200)
	g.Expect(work.longestOverlap()).To(BeNumerically("<", maxConcurrentWork))
}

// Guards against a planned stop that waits for a long prefill elsewhere while the generation runs on where it is.
func testLongPrefillWhileMoving(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	cl := newCluster(t)
	work := monitorWork(cl.backends)
	got := generate(t, cl.url, 1500, func(index int) {
		if index == 100 {
			current := cl.runningBackend()
			cl.otherBackend(current).engine.SetSlowdown(slowPrefill)
			current.sidecar.BeginDrain("test")
			time.AfterFunc(2500*time.Millisecond, func() { cl.otherBackend(current).engine.SetSlowdown(1) })
		}
	})
	got.expectComplete(g, 1500)
	g.Expect(work.longestOverlap()).To(BeNumerically("<", maxConcurrentWork))
}

// Guards against a stalled generation that a stuck engine accepted and whose former server, which works again, then leaves.
func TestGenerationAtStuckSuccessorSurvivesPlannedStop(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	cl := newCluster(t)
	got := make(chan generateResult, 1)
	move := func() {
		current := cl.runningBackend()
		other := cl.otherBackend(current)
		other.engine.Hold()
		t.Cleanup(other.engine.Release)
		current.engine.Hold()
		for other.sidecar.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		current.engine.Release()
		current.sidecar.BeginDrain("test")
	}
	go func() {
		got <- generate(t, cl.url, 600, func(index int) {
			if index == 100 {
				go move()
			}
		})
	}()
	var result generateResult
	g.Eventually(got, "15s").Should(Receive(&result))
	result.expectComplete(g, 600)
}
