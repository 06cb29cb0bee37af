package directory

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// The laws of a model engine: a step gives each stream a token and reads one chunk of the
// oldest unread prompt.
const (
	modelStep      = 5500 * time.Microsecond
	modelChunk     = 200 // prompt tokens a step
	modelChunkTime = 25 * time.Millisecond
	modelTold      = 25 * time.Millisecond  // until a load is known to others
	modelMeasured  = 200 * time.Millisecond // until a measure is
	modelNoticed   = 30 * time.Millisecond  // until a loss is
	modelZones     = 6
	modelUncopied  = 60 // tokens that a copy of a stream lacks
)

// modelSite is entry VMs and engines in virtual time, driven by one goroutine. Each VM
// has a Directory of its own and hears the others of its cell.
type modelSite struct {
	vms     []*modelVM
	engines map[string]*modelEngine
	queue   events
	random  *rand.Rand
	streams []*modelStream
	list    []Listing
}

type modelVM struct {
	directory *Directory
	name      string
	zone      string
	near      []*modelVM
	telling   bool
}

type modelEngine struct {
	slowness float64
	streams  []*modelStream
	running  bool
	starts   int
}

type modelStream struct {
	vm             *modelVM
	server, copyAt *Server
	load           *Running
	prompt         int
	unread, tokens int // yet to be read, yet to be made
	begun          time.Time
	first, whole   time.Duration // 0: not yet
}

// happening is something at a time.
type happening struct {
	at time.Time
	do func()
}

type events []happening

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(happening)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newModelSite makes vms VMs with perVM servers each, in all zones.
func newModelSite(vms int, perVM float64, slowness func(i int) float64) *modelSite {
	site := &modelSite{engines: map[string]*modelEngine{}, random: rand.New(rand.NewPCG(1, 2))}
	for i := range int(perVM * float64(vms)) {
		id := fmt.Sprintf("%c-%05d", 'a'+i%modelZones, i)
		site.list = append(site.list, Listing{ID: id, Service: "s", Address: id, Zone: id[:1], Slots: 48})
		site.engines[id] = &modelEngine{slowness: slowness(i / modelZones)}
	}
	site.startVMs(vms)
	return site
}

// startVMs puts VMs that know the list of servers and nothing else in the place of all.
func (m *modelSite) startVMs(vms int) {
	m.vms = nil
	cells := Cells(vms)
	for i := range vms {
		vm := &modelVM{directory: New(), name: fmt.Sprint("vm", i), zone: string(rune('a' + i%modelZones))}
		vm.directory.Apply(1, m.list, false, time.Now())
		vm.directory.SetCells(i%cells, cells)
		vm.directory.SetHashRange(i/cells, (vms+cells-1)/cells)
		m.vms = append(m.vms, vm)
	}
	for i, vm := range m.vms {
		for j, other := range m.vms {
			if i != j && i%cells == j%cells {
				vm.near = append(vm.near, other)
			}
		}
	}
}

func (m *modelSite) after(wait time.Duration, do func()) {
	heap.Push(&m.queue, happening{time.Now().Add(wait), do})
}

// run goes on until nothing is left to happen.
func (m *modelSite) run() {
	for m.queue.Len() > 0 {
		next := heap.Pop(&m.queue).(happening)
		time.Sleep(time.Until(next.at))
		next.do()
	}
}

// arrive has streams arrive for some time, that many a second at each server.
func (m *modelSite) arrive(rate float64, during time.Duration) {
	gap := float64(time.Second) / (rate * float64(len(m.engines)))
	for at := 0.0; at < float64(during); at += gap * m.random.ExpFloat64() {
		m.after(time.Duration(at), m.begin)
	}
}

func (m *modelSite) begin() {
	s := &modelStream{
		vm: m.vms[m.random.IntN(len(m.vms))], begun: time.Now(),
		prompt: int(8000 * math.Exp(0.3*m.random.NormFloat64())), tokens: int(650 * math.Exp(0.2*m.random.NormFloat64())),
	}
	s.unread = s.prompt
	m.streams = append(m.streams, s)
	m.place(s, s.vm.directory.Pick(Query{Service: "s", Zone: s.vm.zone, Prompt: s.prompt, Resumes: true}, s.begun))
}

// place has a server run a stream, and another one hold its copy.
func (m *modelSite) place(s *modelStream, server *Server) {
	s.server, s.load = server, server.StreamBegun(s.unread)
	s.copyAt = s.vm.directory.Pick(Query{
		Service: "s", Zone: s.vm.zone, Prompt: s.prompt, Copy: true, NotZone: server.Zone, Avoid: map[Start]bool{server.Start: true},
	}, time.Now())
	e := m.engines[server.ID]
	e.streams = append(e.streams, s)
	m.work(e)
	m.tell(s.vm)
}

// lose has the first servers of a zone crash and start again after a time.
func (m *modelSite) lose(zone string, servers int, away time.Duration) {
	var lost []*modelStream
	for i, l := range m.list {
		e := m.engines[l.ID]
		if l.Zone != zone || servers == 0 {
			continue
		}
		servers--
		lost = append(lost, e.streams...)
		e.streams = nil
		e.starts++
		m.list[i].Born++
	}
	m.after(modelNoticed, func() {
		for _, s := range lost {
			s.server.Lost(time.Now())
			s.load.End()
		}
		for _, s := range lost {
			m.placeAgain(s, zone)
		}
	})
	m.after(away, func() {
		for _, vm := range m.vms {
			vm.directory.Apply(vm.directory.View().Position+1, m.list, false, time.Now())
		}
	})
}

// placeAgain has a stream go on at its copy, or its prompt read anew.
func (m *modelSite) placeAgain(s *modelStream, zone string) {
	if s.first != 0 && s.copyAt != nil && !s.copyAt.IsDown(time.Now()) && !s.copyAt.Draining() {
		s.unread = modelUncopied
		m.place(s, s.copyAt)
		return
	}
	s.unread = s.prompt
	m.place(s, s.vm.directory.Pick(Query{Service: "s", Zone: s.vm.zone, Prompt: s.prompt, Resumes: true, Again: true, NotZone: zone}, time.Now()))
}

// work makes the next step of an engine that has something to do.
func (m *modelSite) work(e *modelEngine) {
	if e.running || len(e.streams) == 0 {
		return
	}
	e.running = true
	took := modelStep
	reading := e.reading()
	if reading != nil {
		took += modelChunkTime
	}
	start := e.starts
	m.after(time.Duration(e.slowness*float64(took)), func() {
		e.running = false
		if e.starts != start {
			m.work(e)
			return
		}
		m.step(e, reading)
		m.work(e)
	})
}

func (e *modelEngine) reading() *modelStream {
	for _, s := range e.streams {
		if s.unread > 0 {
			return s
		}
	}
	return nil
}

func (m *modelSite) step(e *modelEngine, reading *modelStream) {
	if reading != nil {
		reading.unread -= min(modelChunk, reading.unread)
	}
	var left []*modelStream
	for _, s := range e.streams {
		if s.unread > 0 || m.token(s) {
			left = append(left, s)
		}
	}
	e.streams = left
}

// token makes one of a stream's tokens. It reports whether more are to come.
func (m *modelSite) token(s *modelStream) bool {
	switch {
	case s.first == 0:
		s.first = time.Since(s.begun)
		s.load.Read()
		m.tell(s.vm)
	case s.load.prompt != 0:
		s.load.ReadAgain()
		m.tell(s.vm)
	}
	s.tokens--
	if s.tokens > 0 {
		return true
	}
	s.whole = time.Since(s.begun)
	s.load.End()
	m.tell(s.vm)
	return false
}

// tell has a VM's load, and what it has measured, known to the others a moment later.
func (m *modelSite) tell(vm *modelVM) {
	if vm.telling {
		return
	}
	vm.telling = true
	m.after(modelTold, func() {
		vm.telling = false
		own := vm.directory.Own()
		for _, other := range vm.near {
			other.directory.Others(vm.name, own)
		}
	})
	m.after(modelMeasured, func() {
		for _, t := range vm.directory.UntoldReadTimes() {
			for _, other := range vm.near {
				other.directory.MeasuredElsewhere(t, time.Now())
			}
		}
	})
}
