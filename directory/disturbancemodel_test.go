package directory

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The model of plain servers on machines that are shared with others: a call takes a place
// for modelCall, and longer if the machine is disturbed when it begins.
const (
	modelCall      = 30 * time.Millisecond
	modelSlots     = 6
	modelObjective = 150 * time.Millisecond
	modelNotice    = 25 * time.Millisecond // until peers know of a report
)

// noise is how a machine is disturbed: a share of the time, each time for a while on
// average, in which work takes times as long.
type noise struct {
	share, times float64
	lasts        time.Duration
}

// callSite consists of entry VMs and plain servers in virtual time, driven by one goroutine.
type callSite struct {
	vms      []*Directory
	servers  map[string]*callServer
	queue    eventQueue
	random   *rand.Rand
	unshared bool // VMs don't tell each other the figures
	places   bool // VMs tell each other their calls in progress
	silent   bool // servers report no figure
	took     []time.Duration
}

type callServer struct {
	disturbed      bool
	since          time.Time // of disturbed
	running        int
	waiting        []func()
	calls, settled int // begun; begun a second or more after a disturbance
	most           int // running and waiting at a time
	says           func() float64
	known          map[*Directory]int // calls in progress of each VM that the others know of
}

func newCallSite(vms, servers int, n noise) *callSite {
	m := &callSite{servers: map[string]*callServer{}, random: rand.New(rand.NewPCG(3, 4))}
	var list []Listing
	for i := range servers {
		id := fmt.Sprintf("%c-%d", 'a'+i%4, i)
		list = append(list, Listing{ID: id, Service: "s", Address: id, Zone: id[:1], Slots: modelSlots})
		s := &callServer{since: time.Now(), known: map[*Directory]int{}}
		s.says = func() float64 { return UsualDisturbance * s.times(n) }
		m.servers[id] = s
		m.toggle(s, n)
	}
	for range vms {
		d := New()
		d.Apply(1, list, false, time.Now().Add(-time.Hour))
		m.vms = append(m.vms, d)
	}
	return m
}

func (s *callServer) times(n noise) float64 {
	if s.disturbed {
		return n.times
	}
	return 1
}

// toggle schedules the beginnings and ends of a machine's disturbances.
func (m *callSite) toggle(s *callServer, n noise) {
	if n.share == 0 {
		return
	}
	lasts := float64(n.lasts) * (1 - n.share) / n.share
	if s.disturbed {
		lasts = float64(n.lasts)
	}
	m.after(time.Duration(lasts*m.random.ExpFloat64()), func() {
		s.disturbed, s.since = !s.disturbed, time.Now()
		m.toggle(s, n)
	})
}

func (m *callSite) after(wait time.Duration, do func()) {
	heap.Push(&m.queue, modelEvent{time.Now().Add(wait), do})
}

// play has calls arrive at a rate per second for some time.
func (m *callSite) play(rate float64, during time.Duration, n noise) {
	gap := float64(time.Second) / rate
	for at := 0.0; at < float64(during); at += gap * m.random.ExpFloat64() {
		m.after(time.Duration(at), func() { m.call(m.vms[m.random.IntN(len(m.vms))], n) })
	}
	end := time.Now().Add(during + time.Second)
	for m.queue.Len() > 0 && m.queue[0].at.Before(end) {
		next := heap.Pop(&m.queue).(modelEvent)
		time.Sleep(time.Until(next.at))
		next.do()
	}
}

func (m *callSite) call(vm *Directory, n noise) {
	begun := time.Now()
	m.learnPlaces(vm)
	picked := vm.Pick(Query{Service: "s"}, begun)
	s := m.servers[picked.ID]
	done := m.begin(vm, picked, s)
	s.calls++
	if !s.disturbed && time.Since(s.since) > time.Second {
		s.settled++
	}
	start := func() {
		s.running++
		m.after(time.Duration(float64(modelCall)*s.times(n)), func() {
			s.running--
			m.took = append(m.took, time.Since(begun))
			done()
			if !m.places {
				picked.RecordReportedLoad(time.Now(), s.running, len(s.waiting))
			}
			if !m.silent {
				picked.RecordDisturbance(s.says(), time.Now())
				m.share(vm)
			}
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
		})
	}
	s.most = max(s.most, s.running+len(s.waiting)+1)
	if s.running < modelSlots {
		start()
		return
	}
	s.waiting = append(s.waiting, start)
}

// begin counts a call at the VM, and later at the others.
func (m *callSite) begin(vm *Directory, picked *Server, s *callServer) (done func()) {
	end := picked.BeginCall()
	m.after(modelNotice, func() { s.known[vm]++ })
	return func() {
		end()
		m.after(modelNotice, func() { s.known[vm]-- })
	}
}

// learnPlaces sets what a VM knows of the others' calls.
func (m *callSite) learnPlaces(vm *Directory) {
	if !m.places {
		return
	}
	for _, server := range vm.View().Service("s") {
		others := 0
		for other, calls := range m.servers[server.ID].known {
			if other != vm {
				others += calls
			}
		}
		server.RecordReportedLoad(time.Now(), others+int(server.calls.Load()+server.streams.Load()), 0)
	}
}

// share passes new reports of a VM on to the others.
func (m *callSite) share(vm *Directory) {
	reports, _ := vm.TakeUnsentDisturbances(100, time.Now())
	if m.unshared || len(reports) == 0 {
		return
	}
	sent := time.Now()
	m.after(modelNotice, func() {
		for _, other := range m.vms {
			if other == vm {
				continue
			}
			for _, r := range reports {
				r.Age += time.Since(sent)
				other.RecordPeerDisturbance(r, time.Now())
			}
		}
	})
}

// late returns how many calls missed the objective, and the mean time of all.
func (m *callSite) late() (late int, mean time.Duration) {
	var sum time.Duration
	for _, t := range m.took {
		sum += t
		if t > modelObjective {
			late++
		}
	}
	return late, sum / time.Duration(len(m.took))
}
