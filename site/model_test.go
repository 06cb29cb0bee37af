package site

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// step is an event in the life of a process that follows the configuration.
// docs/design/machines.md has the states and the effect of each event.
type step byte

const (
	stepChange  step = 'C' // operators write a version; the store acknowledges it
	stepLose    step = 'L' // the open request never gets a response
	stepSilence step = 'S' // the store falls silent, or responds again
	stepNewest  step = 'N' // a peer offers the newest version
	stepOlder   step = 'O' // a peer offers the version before
	stepRestart step = 'R' // the process is killed and starts again
	stepWait    step = 'W' // time passes
)

var steps = []step{stepChange, stepLose, stepSilence, stepNewest, stepOlder, stepRestart, stepWait}

const (
	// modelDepth is the number of events in each run: all 16,807 sequences are run.
	modelDepth = 5
	// modelCheckInterval is the time between two checks of the invariants.
	modelCheckInterval = 100 * time.Millisecond
	// modelStep is the time after each event, modelWait that of a wait.
	modelStep = 300 * time.Millisecond
	modelWait = 1300 * time.Millisecond
	// disturbancePeriod is how long after a silence, a lost response or a start a process
	// may still use an older version.
	disturbancePeriod = 3 * time.Second
)

// modelStore is the store. A request that is open when a response is lost or the store
// falls silent never gets a response.
type modelStore struct {
	mu      sync.Mutex
	version uint64
	lost    int           // losses of open requests so far
	silent  bool          // new requests are lost, too
	changed chan struct{} // closed at each change of the above
}

func (s *modelStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *modelStore) state() (version uint64, lost int, silent bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.lost, s.silent, s.changed
}

func (s *modelStore) Read(ctx context.Context) (*Versioned, types.Position, error) {
	version, _, silent, _ := s.state()
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return versionAt(types.Position(version), version), types.Position(version), nil
}

func (s *modelStore) Next(ctx context.Context, after types.Position, wait time.Duration) (*Versioned, types.Position, error) {
	_, lostBefore, _, _ := s.state()
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		version, lost, silent, changed := s.state()
		if silent || lost > lostBefore {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		if types.Position(version) > after {
			return versionAt(types.Position(version), version), types.Position(version), nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-end.C:
			return nil, after, nil
		case <-changed:
		}
	}
}

// modelRun runs one process through a sequence of events.
type modelRun struct {
	store    *modelStore
	holder   *Holder
	follower *Follower
	end      func()

	acknowledgedAt time.Time      // time at which the store acknowledged the newest version
	disturbedAt    time.Time      // time of the newest silence, loss or start
	highest        types.Position // highest position in force since the start
	offer          func(h *Holder, v *Versioned)
	source         func(*modelStore) Source
}

func (m *modelRun) start() {
	m.holder, m.highest, m.disturbedAt = NewHolder(), 0, time.Now()
	m.follower = &Follower{Holder: m.holder, Source: m.source(m.store), Recorder: event.Discard()}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func(f *Follower) {
		defer close(done)
		_ = f.Run(ctx)
	}(m.follower)
	m.end = func() {
		stop()
		<-done
	}
}

func (m *modelRun) do(s step) {
	switch s {
	case stepChange:
		if !m.store.silent {
			m.store.change(func() { m.store.version++ })
			m.acknowledgedAt = time.Now()
		}
	case stepLose:
		m.store.change(func() { m.store.lost++ })
		m.disturbedAt = time.Now()
	case stepSilence:
		m.store.change(func() { m.store.silent = !m.store.silent; m.store.lost++ })
		m.disturbedAt = time.Now()
	case stepNewest:
		m.offer(m.holder, versionAt(types.Position(m.store.version), m.store.version))
	case stepOlder:
		m.offer(m.holder, versionAt(types.Position(m.store.version-1), m.store.version-1))
	case stepRestart:
		m.end()
		m.start()
	}
}

// check returns which invariant is violated, or "".
func (m *modelRun) check() string {
	position := m.holder.Position()
	if position < m.highest {
		return fmt.Sprintf("went back from %d to %d", m.highest, position)
	}
	m.highest = position
	if m.store.silent || time.Since(m.acknowledgedAt) <= applyWithin || time.Since(m.disturbedAt) <= disturbancePeriod {
		return ""
	}
	if position < types.Position(m.store.version) {
		return fmt.Sprintf("%d is in force %v after %d was acknowledged", position, time.Since(m.acknowledgedAt), m.store.version)
	}
	return ""
}

// pass lets time pass and returns the first violation.
func (m *modelRun) pass(d time.Duration) string {
	for ; d > 0; d -= modelCheckInterval {
		time.Sleep(modelCheckInterval)
		if violation := m.check(); violation != "" {
			return violation
		}
	}
	return ""
}

// runSequence runs one sequence and returns the first violation.
func (m *modelRun) runSequence(sequence []step) string {
	m.store = &modelStore{version: 5, changed: make(chan struct{})}
	m.acknowledgedAt = time.Now()
	m.start()
	defer func() { m.end() }()
	for _, s := range sequence {
		m.do(s)
		d := modelStep
		if s == stepWait {
			d = modelWait
		}
		if violation := m.pass(d); violation != "" {
			return violation
		}
	}
	if m.store.silent {
		m.do(stepSilence)
	}
	return m.pass(disturbancePeriod + modelStep)
}

// runAllSequences runs all sequences of a length. It returns the first few that violate an
// invariant, and the number of sequences.
func runAllSequences(depth int, newRun func() *modelRun) (violations []string, runs int) {
	sequence := make([]step, depth)
	var extend func(i int)
	extend = func(i int) {
		if i < depth {
			for _, s := range steps {
				sequence[i] = s
				extend(i + 1)
			}
			return
		}
		runs++
		if violation := newRun().runSequence(sequence); violation != "" && len(violations) < 5 {
			violations = append(violations, string(sequenceText(sequence))+": "+violation)
		}
	}
	extend(0)
	return violations, runs
}

func sequenceText(sequence []step) []byte {
	text := make([]byte, len(sequence))
	for i, s := range sequence {
		text[i] = byte(s)
	}
	return text
}

func correctRun() *modelRun {
	return &modelRun{
		offer:  func(h *Holder, v *Versioned) { h.Offer(v) },
		source: func(s *modelStore) Source { return s },
	}
}

// Changes, lost responses, silences of the store, newer and older versions from peers,
// and restarts come in every order. No process goes back, and each change is in force in
// time whenever the store responds.
func TestConfigurationInAllOrdersOfEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		violations, runs := runAllSequences(modelDepth, correctRun)
		g.Expect(violations).To(gomega.BeEmpty())
		g.Expect(runs).To(gomega.Equal(16807))
	})
}

// Shows that the model detects a faulty process: its holder accepts any version that it is
// offered.
func TestModelFindsAVersionThatGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		violations, _ := runAllSequences(2, func() *modelRun {
			m := correctRun()
			m.offer = func(h *Holder, v *Versioned) { h.current.Store(v) }
			return m
		})
		gomega.NewWithT(t).Expect(violations).NotTo(gomega.BeEmpty())
	})
}

// Shows that the model detects a faulty process: it learns of changes too late.
func TestModelFindsAChangeThatIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		violations, _ := runAllSequences(2, func() *modelRun {
			m := correctRun()
			m.source = func(s *modelStore) Source { return unawareSource{s} }
			return m
		})
		gomega.NewWithT(t).Expect(violations).NotTo(gomega.BeEmpty())
	})
}

// unawareSource never returns a change while it waits for one.
type unawareSource struct{ *modelStore }

func (s unawareSource) Next(ctx context.Context, after types.Position, wait time.Duration) (*Versioned, types.Position, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}
