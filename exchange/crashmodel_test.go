package exchange

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pearyard/pearyard/retry"
	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

const (
	// modelCrashDelay is how long after its arrival a poisoned request crashes its server:
	// when the server has read the prompt.
	modelCrashDelay = 1900 * time.Millisecond
	// modelDownTime is how long a crashed server is down.
	modelDownTime = 3 * time.Second
	// modelListInterval is how often VMs read the list of servers.
	modelListInterval = 400 * time.Millisecond
	// modelStagger is the time between the first arrivals of two poisoned requests.
	modelStagger = 20 * time.Millisecond
	// modelReportedLoss is how long VMs report the loss of a server to each other.
	modelReportedLoss = 400 * time.Millisecond
	// modelGossipInterval is how often VMs exchange what they know of crashes.
	modelGossipInterval = 5 * time.Millisecond
)

// poisonName begins the ids of requests that crash the servers that run them.
const poisonName = "poison"

// poisoning records what poisoned requests did to the servers of a model.
type poisoning struct {
	delay time.Duration
	// whenRun is set if the delay counts from the moment at which the server begins to read
	// the prompt, after those that arrived before; else it counts from the arrival.
	whenRun bool
	// generates is set if poisoned requests send events until the crash. The delay then
	// counts from the moment at which the prompt has been read.
	generates bool

	mu      sync.Mutex
	sent    map[string][]time.Time // by request: when it reached a server
	verdict map[string]time.Time   // by request: when it was first seen to be quarantined
	crashes map[string][]time.Time // by request: when a server crashed under it
}

func newPoisoning(delay time.Duration) *poisoning {
	return &poisoning{delay: delay, sent: map[string][]time.Time{}, verdict: map[string]time.Time{}, crashes: map[string][]time.Time{}}
}

// arrived crashes an engine that runs a poisoned request, unless the run is ended before.
func (p *poisoning) arrived(e *modelEngine, r *modelRun) {
	if !strings.HasPrefix(r.id, poisonName) {
		return
	}
	p.mu.Lock()
	p.sent[r.id] = append(p.sent[r.id], time.Now())
	p.mu.Unlock()
	e.mu.Lock()
	r.mute = !p.generates
	e.mu.Unlock()
	go func() {
		if p.whenRun {
			e.awaitTurn(r)
		}
		if p.generates {
			e.awaitPrompt(r)
		}
		time.Sleep(p.delay)
		if r.ctx.Err() != nil || !e.isRunning(r) {
			return
		}
		p.mu.Lock()
		p.crashes[r.id] = append(p.crashes[r.id], time.Now())
		p.mu.Unlock()
		e.crash()
		time.AfterFunc(modelDownTime, e.revive)
	}()
}

// awaitTurn waits until the engine reads the prompt of r, or r has ended.
func (e *modelEngine) awaitTurn(r *modelRun) {
	for r.ctx.Err() == nil && e.isRunning(r) {
		e.mu.Lock()
		reading := e.reading()
		e.mu.Unlock()
		if reading == r {
			return
		}
		time.Sleep(modelStep)
	}
}

// awaitPrompt waits until the engine has read the prompt of r, or r has ended.
func (e *modelEngine) awaitPrompt(r *modelRun) {
	for r.ctx.Err() == nil && e.isRunning(r) {
		e.mu.Lock()
		unread := r.unread
		e.mu.Unlock()
		if unread == 0 {
			return
		}
		time.Sleep(modelStep)
	}
}

// isRunning reports whether the engine still runs r.
func (e *modelEngine) isRunning(r *modelRun) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.runs {
		if other == r {
			return true
		}
	}
	return false
}

// sentLate returns how many times a request was sent later than within after its third
// crash.
func (p *poisoning) sentLate(id string, within time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes[id]) < modelCrashLimit {
		return 0
	}
	late := 0
	for _, at := range p.sent[id] {
		if at.Sub(p.crashes[id][modelCrashLimit-1]) > within {
			late++
		}
	}
	return late
}

// watchVerdicts records when poisoned requests are quarantined.
func (m *crashModel) watchVerdicts(ctx context.Context) {
	for retry.Wait(ctx, modelGossipInterval) == nil {
		m.poison.mu.Lock()
		for name := range m.poison.sent {
			if m.poison.verdict[name].IsZero() && m.quarantines(modelRequest(name).Fingerprint()) {
				m.poison.verdict[name] = time.Now()
			}
		}
		m.poison.mu.Unlock()
	}
}

// verdictDelay returns the time from a request's third crash to its quarantine. It is zero
// if the request was quarantined sooner, since others crashed servers on which it ran.
func (m *crashModel) verdictDelay(name string) time.Duration {
	m.poison.mu.Lock()
	defer m.poison.mu.Unlock()
	if m.poison.verdict[name].IsZero() {
		return time.Hour
	}
	if len(m.poison.crashes[name]) < modelCrashLimit {
		return 0
	}
	return m.poison.verdict[name].Sub(m.poison.crashes[name][modelCrashLimit-1])
}

func (p *poisoning) crashCount(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.crashes[id])
}

// crashModel is a site with four entry VMs that tell each other of crashes.
type crashModel struct {
	ids     []string
	engines *modelBackend
	poison  *poisoning
	vms     []*modelVM
}

func newCrashModel(t *testing.T, servers int, delay time.Duration) *crashModel {
	return newCrashModelOf(t, modelServers(servers), delay)
}

// newCrashModelOf returns a site with the given servers; the first letter of an id is its zone.
func newCrashModelOf(t *testing.T, ids []string, delay time.Duration) *crashModel {
	ctx := t.Context()
	t.Cleanup(func() { time.Sleep(time.Second + delay) }) // what is in progress ends
	m := &crashModel{ids: ids, poison: newPoisoning(delay)}
	m.engines = newModelBackend(ctx, m.ids, evenSpeed)
	m.engines.arrived = m.poison.arrived
	for _, e := range m.engines.engines {
		e.born = 1
	}
	for _, zone := range []string{"a", "b", "c", "d"} {
		vm := newModelVM(m.engines, m.ids)
		vm.opts.Zone = zone
		m.vms = append(m.vms, vm)
	}
	m.shareGrants(ctx)
	go m.readLists(ctx)
	go m.gossip(ctx)
	go m.watchVerdicts(ctx)
	return m
}

// shareGrants lets the VMs agree on the runs of accused requests.
func (m *crashModel) shareGrants(ctx context.Context) {
	byName := map[string]*modelVM{}
	for _, vm := range m.vms {
		byName[vm.opts.Zone] = vm
	}
	names := slices.Sorted(maps.Keys(byName))
	for name, vm := range byName {
		vm.grants = suspect.NewGossiper(vm.suspects, suspect.GossiperOptions{
			Self: name, Peers: func() []string { return names },
			Dial: func(peer string) suspectpb.Suspects { return byName[peer].suspects.Server() },
		})
		vm.opts.Grants = vm.grants
		go func() { _ = vm.grants.Run(ctx) }()
	}
}

func (m *crashModel) readLists(ctx context.Context) {
	for retry.Wait(ctx, modelListInterval) == nil {
		for _, vm := range m.vms {
			vm.readList(m.engines, m.ids)
		}
	}
}

func (m *crashModel) gossip(ctx context.Context) {
	since := make([]uint64, len(m.vms))
	for retry.Wait(ctx, modelGossipInterval) == nil {
		for i, from := range m.vms {
			entries, next := from.suspects.Deltas(since[i])
			since[i] = next
			losses := from.dir.LocalLosses(time.Now(), modelReportedLoss)
			for _, to := range m.vms {
				if to == from {
					continue
				}
				to.suspects.Merge(entries)
				for _, server := range losses {
					to.dir.RecordPeerLoss(server, time.Now())
				}
			}
		}
	}
}

// insist sends a poisoned request again and again, at once after each failure and at
// whichever VM is next, for the given time.
func (m *crashModel) insist(t *testing.T, id string, firstVM int, during time.Duration) {
	end := time.Now().Add(during)
	for i := firstVM; time.Now().Before(end); i++ {
		_, err := m.vms[i%len(m.vms)].Stream(t.Context(), modelRequest(id), &recordingSink{start: time.Now()})
		var failure *Failure
		if errors.As(err, &failure) {
			time.Sleep(min(failure.RetryAfter, time.Second))
		}
	}
}

// insistAll sends count poisoned requests by insist, each starting a moment after the one
// before.
func (m *crashModel) insistAll(t *testing.T, count int, during time.Duration) []string {
	var callers sync.WaitGroup
	var names []string
	for i := range count {
		name := fmt.Sprint(poisonName, i)
		names = append(names, name)
		callers.Go(func() {
			time.Sleep(time.Duration(i) * modelStagger)
			m.insist(t, name, i, during)
		})
	}
	callers.Wait()
	return names
}

// quarantinedSound returns the sound requests that a VM has quarantined.
func (m *crashModel) quarantinedSound(names []string) []string {
	var found []string
	for _, name := range names {
		fp := modelRequest(name).Fingerprint()
		if m.quarantines(fp) {
			found = append(found, name)
		}
	}
	return found
}

func (m *crashModel) quarantines(fp types.Fingerprint) bool {
	for _, vm := range m.vms {
		if vm.suspects.Verdict(fp).State == suspect.Quarantined {
			return true
		}
	}
	return false
}

// playSound sends sound streams at the given times to the VMs in turn and waits for their
// ends. It returns their names and how many were not served.
func (m *crashModel) playSound(t *testing.T, arrivals []time.Duration) (names []string, failed int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i, at := range arrivals {
		name := fmt.Sprint("sound", i)
		names = append(names, name)
		callers.Go(func() {
			time.Sleep(at)
			_, err := m.vms[i%len(m.vms)].Stream(t.Context(), modelRequest(name), &recordingSink{start: time.Now()})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
			}
		})
	}
	callers.Wait()
	return names, failed
}
