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
)

// What may happen to a process that follows the configuration. docs/design/machines.md
// has the states and what each event does to them.
type step byte

const (
	stepChange  step = 'C' // operators write a version; the store acknowledges it
	stepLose    step = 'L' // the question that is open is never answered
	stepSilence step = 'S' // the store falls silent, or answers again
	stepNewest  step = 'N' // a peer tells the newest version
	stepOlder   step = 'O' // a peer tells the version before
	stepRestart step = 'R' // the process is killed and starts again
	stepWait    step = 'W' // time passes
)

var steps = []step{stepChange, stepLose, stepSilence, stepNewest, stepOlder, stepRestart, stepWait}

const (
	// modelDepth is how many events follow each other in each run: all 16,807 sequences.
	modelDepth = 5
	// modelLook is how often the invariants are checked.
	modelLook = 100 * time.Millisecond
	// modelStep is the time after each event, modelWait that of a wait.
	modelStep = 300 * time.Millisecond
	modelWait = 1300 * time.Millisecond
	// disturbed is how long after a silence, a lost answer or a start a process
	// may still go by an older version.
	disturbed = 3 * time.Second
)

// modelStore is the store; a question that is open when an answer is lost or the
// store falls silent is never answered.
type modelStore struct {
	mu      sync.Mutex
	version uint64
	lost    int           // losses of open questions so far
	silent  bool          // new questions are lost, too
	moved   chan struct{} // closed at each change of the above
}

func (s *modelStore) move(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.moved)
	s.moved = make(chan struct{})
}

func (s *modelStore) state() (version uint64, lost int, silent bool, moved chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.lost, s.silent, s.moved
}

func (s *modelStore) Read(ctx context.Context) (*Versioned, uint64, error) {
	version, _, silent, _ := s.state()
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return at(version, version), version, nil
}

func (s *modelStore) Next(ctx context.Context, after uint64, wait time.Duration) (*Versioned, uint64, error) {
	_, begun, _, _ := s.state()
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		version, lost, silent, moved := s.state()
		if silent || lost > begun {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		if version > after {
			return at(version, version), version, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-end.C:
			return nil, after, nil
		case <-moved:
		}
	}
}

// modelRun is one process, followed through a sequence of events.
type modelRun struct {
	store    *modelStore
	holder   *Holder
	follower *Follower
	end      func()

	acked     time.Time // of the newest version
	disturbed time.Time // newest silence, loss or start
	highest   uint64    // position seen since the start
	offer     func(h *Holder, v *Versioned)
	source    func(*modelStore) Source
}

func (m *modelRun) start() {
	m.holder, m.highest, m.disturbed = NewHolder(), 0, time.Now()
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
			m.store.move(func() { m.store.version++ })
			m.acked = time.Now()
		}
	case stepLose:
		m.store.move(func() { m.store.lost++ })
		m.disturbed = time.Now()
	case stepSilence:
		m.store.move(func() { m.store.silent = !m.store.silent; m.store.lost++ })
		m.disturbed = time.Now()
	case stepNewest:
		m.offer(m.holder, at(m.store.version, m.store.version))
	case stepOlder:
		m.offer(m.holder, at(m.store.version-1, m.store.version-1))
	case stepRestart:
		m.end()
		m.start()
	}
}

// check returns what is broken now.
func (m *modelRun) check() string {
	position := m.holder.Position()
	if position < m.highest {
		return fmt.Sprintf("went back from %d to %d", m.highest, position)
	}
	m.highest = position
	if m.store.silent || time.Since(m.acked) <= applyWithin || time.Since(m.disturbed) <= disturbed {
		return ""
	}
	if position < m.store.version {
		return fmt.Sprintf("%d is in force %v after %d was acknowledged", position, time.Since(m.acked), m.store.version)
	}
	return ""
}

// pass lets time pass.
func (m *modelRun) pass(d time.Duration) string {
	for ; d > 0; d -= modelLook {
		time.Sleep(modelLook)
		if broken := m.check(); broken != "" {
			return broken
		}
	}
	return ""
}

// play runs one sequence and returns what it broke.
func (m *modelRun) play(sequence []step) string {
	m.store = &modelStore{version: 5, moved: make(chan struct{})}
	m.acked = time.Now()
	m.start()
	defer func() { m.end() }()
	for _, s := range sequence {
		m.do(s)
		d := modelStep
		if s == stepWait {
			d = modelWait
		}
		if broken := m.pass(d); broken != "" {
			return broken
		}
	}
	if m.store.silent {
		m.do(stepSilence)
	}
	return m.pass(disturbed + modelStep)
}

// playAll runs all sequences of a length and returns the first few that break something.
func playAll(depth int, run func() *modelRun) (broken []string, played int) {
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
		played++
		if what := run().play(sequence); what != "" && len(broken) < 5 {
			broken = append(broken, string(sequenceText(sequence))+": "+what)
		}
	}
	extend(0)
	return broken, played
}

func sequenceText(sequence []step) []byte {
	text := make([]byte, len(sequence))
	for i, s := range sequence {
		text[i] = byte(s)
	}
	return text
}

func soundRun() *modelRun {
	return &modelRun{
		offer:  func(h *Holder, v *Versioned) { h.Offer(v) },
		source: func(s *modelStore) Source { return s },
	}
}

// Changes, answers that are lost, silences of the store, words of peers that are
// newer or older, and restarts come in every order. No process goes back, and
// each change is in force within its bound wherever the store answers.
func TestConfigurationThroughAllOrdersOfEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		broken, played := playAll(modelDepth, soundRun)
		g.Expect(broken).To(gomega.BeEmpty())
		g.Expect(played).To(gomega.Equal(16807))
	})
}

// The test above can fail: it finds a holder that takes whatever it is offered.
func TestModelFindsAVersionThatGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken, _ := playAll(2, func() *modelRun {
			m := soundRun()
			m.offer = func(h *Holder, v *Versioned) { h.current.Store(v) }
			return m
		})
		gomega.NewWithT(t).Expect(broken).NotTo(gomega.BeEmpty())
	})
}

// It also finds a process that learns of a change too late.
func TestModelFindsAChangeThatIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken, _ := playAll(2, func() *modelRun {
			m := soundRun()
			m.source = func(s *modelStore) Source { return sleepySource{s} }
			return m
		})
		gomega.NewWithT(t).Expect(broken).NotTo(gomega.BeEmpty())
	})
}

// sleepySource never tells of a change while it waits for one.
type sleepySource struct{ *modelStore }

func (s sleepySource) Next(ctx context.Context, after uint64, wait time.Duration) (*Versioned, uint64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}
