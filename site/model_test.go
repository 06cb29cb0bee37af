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
	stepCopy    step = 'K' // the store is copied
	stepBack    step = 'B' // the store comes back from the last copy
	stepAgain   step = 'A' // operators write again what the store has lost
)

// steps are the events of a store that loses nothing, copySteps those of one that comes back
// from a copy.
var (
	steps     = []step{stepChange, stepLose, stepSilence, stepNewest, stepOlder, stepRestart, stepWait}
	copySteps = []step{stepChange, stepCopy, stepBack, stepAgain, stepSilence, stepOlder, stepWait}
)

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

// modelState is what the store holds.
type modelState struct {
	version  uint64 // of the configuration
	revision uint64 // of the newest change
	at       uint64 // revision of the configuration
}

func (s *modelState) write(version uint64) {
	s.revision++
	s.version, s.at = version, s.revision
}

// modelStore is the store. A request that is open when a response is lost or the store
// falls silent never gets a response.
type modelStore struct {
	mu sync.Mutex
	modelState
	copied  modelState
	era     uint64        // how many times it has come back from a copy
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

// modelAnswer is what a request finds.
type modelAnswer struct {
	modelState
	era     uint64
	lost    int
	silent  bool
	changed chan struct{}
}

func (s *modelStore) state() modelAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return modelAnswer{s.modelState, s.era, s.lost, s.silent, s.changed}
}

func (a modelAnswer) config() (*Versioned, types.Position, error) {
	return versionAt(types.NewPosition(a.era, a.at), a.version), types.NewPosition(a.era, a.revision), nil
}

func (s *modelStore) Read(ctx context.Context) (*Versioned, types.Position, error) {
	found := s.state()
	if found.silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return found.config()
}

func (s *modelStore) Next(ctx context.Context, after types.Position, wait time.Duration) (*Versioned, types.Position, error) {
	before := s.state()
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		now := s.state()
		if now.silent || now.lost > before.lost {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		// A position of another era has no meaning here: all is read.
		if now.era != after.Era() || now.at > after.Revision() {
			return now.config()
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-end.C:
			return nil, after, nil
		case <-now.changed:
		}
	}
}

// modelRun runs one process through a sequence of events.
type modelRun struct {
	store    *modelStore
	holder   *Holder
	follower *Follower
	end      func()

	acknowledged   uint64    // newest version that the store has acknowledged
	acknowledgedAt time.Time // when it did so, the last time
	disturbedAt    time.Time // time of the newest silence, loss or start
	highest        uint64    // highest version in force since the start
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
			m.acknowledged++
			m.write()
		}
	case stepCopy:
		m.store.change(func() { m.store.copied = m.store.modelState })
	case stepBack:
		m.store.change(func() { m.store.modelState = m.store.copied; m.store.era++ })
	case stepAgain:
		if !m.store.silent && m.store.version < m.acknowledged {
			m.write()
		}
	case stepLose:
		m.store.change(func() { m.store.lost++ })
		m.disturbedAt = time.Now()
	case stepSilence:
		m.store.change(func() { m.store.silent = !m.store.silent; m.store.lost++ })
		m.disturbedAt = time.Now()
	case stepNewest:
		m.offer(m.holder, versionAt(types.Position(m.acknowledged), m.acknowledged))
	case stepOlder:
		m.offer(m.holder, versionAt(types.Position(m.acknowledged-1), m.acknowledged-1))
	case stepRestart:
		m.end()
		m.start()
	}
}

// write writes the newest version.
func (m *modelRun) write() {
	m.store.change(func() { m.store.write(m.acknowledged) })
	m.acknowledgedAt = time.Now()
}

// check returns which invariant is violated, or "".
func (m *modelRun) check() string {
	version := uint64(0)
	if config := m.holder.Config(); config != nil {
		version = config.Version
	}
	if version < m.highest {
		return fmt.Sprintf("went back from %d to %d", m.highest, version)
	}
	m.highest = version
	if m.store.silent || time.Since(m.acknowledgedAt) <= applyWithin || time.Since(m.disturbedAt) <= disturbancePeriod {
		return ""
	}
	if version < m.store.version {
		return fmt.Sprintf("%d is in force %v after %d was acknowledged", version, time.Since(m.acknowledgedAt), m.store.version)
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
	first := modelState{5, 5, 5}
	m.store = &modelStore{modelState: first, copied: first, changed: make(chan struct{})}
	m.acknowledged, m.acknowledgedAt = first.version, time.Now()
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

// runAllSequences runs all sequences of some events of a length. It returns the first few that violate an
// invariant, and the number of sequences.
func runAllSequences(steps []step, depth int, newRun func() *modelRun) (violations []string, runs int) {
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
		violations, runs := runAllSequences(steps, modelDepth, correctRun)
		g.Expect(violations).To(gomega.BeEmpty())
		g.Expect(runs).To(gomega.Equal(16807))
	})
}

// Guards against changes that come late, and versions that come back, after the store came
// back from a copy: its revisions go back and are given out again, and the copy has an earlier
// configuration. Copies, returns, changes, silences and offers of peers come in every order.
func TestConfigurationInAllOrdersOfReturnsFromCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		violations, runs := runAllSequences(copySteps, modelDepth, correctRun)
		g.Expect(violations).To(gomega.BeEmpty())
		g.Expect(runs).To(gomega.Equal(16807))
	})
}

// Shows that the model detects a faulty process: it orders versions by the store's revision
// alone.
func TestModelFindsAChangeThatLooksOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		violations, _ := runAllSequences(copySteps, 4, func() *modelRun {
			m := correctRun()
			m.source = func(s *modelStore) Source { return eraUnawareSource{s} }
			return m
		})
		gomega.NewWithT(t).Expect(violations).NotTo(gomega.BeEmpty())
	})
}

// eraUnawareSource returns positions without the store's era.
type eraUnawareSource struct{ *modelStore }

func (s eraUnawareSource) Read(ctx context.Context) (*Versioned, types.Position, error) {
	return withoutEra(s.modelStore.Read(ctx))
}

func (s eraUnawareSource) Next(ctx context.Context, after types.Position, wait time.Duration) (*Versioned, types.Position, error) {
	return withoutEra(s.modelStore.Next(ctx, types.NewPosition(s.state().era, after.Revision()), wait))
}

func withoutEra(v *Versioned, reached types.Position, err error) (*Versioned, types.Position, error) {
	if v != nil {
		v.Position = types.Position(v.Position.Revision())
	}
	return v, types.Position(reached.Revision()), err
}

// Shows that the model detects a faulty process: its holder accepts any version that it is
// offered.
func TestModelFindsAVersionThatGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		violations, _ := runAllSequences(steps, 2, func() *modelRun {
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
		violations, _ := runAllSequences(steps, 2, func() *modelRun {
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
