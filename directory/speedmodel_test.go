package directory

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// The model of an engine: a step gives each stream a token and prefills one chunk of the
// oldest queued prompt.
const (
	modelStep        = 5500 * time.Microsecond // duration of a step without a chunk
	modelChunk       = 200                     // prompt tokens per step
	modelChunkTime   = 25 * time.Millisecond   // added to a step with a chunk
	modelLoadDelay   = 25 * time.Millisecond   // until peers know of a load
	modelSampleDelay = 200 * time.Millisecond  // until peers know of a prefill time
	modelLossDelay   = 30 * time.Millisecond   // until VMs notice that their streams are lost
	modelZones       = 6
	modelCopyLag     = 60 // tokens that a stream's copy lacks
)

// modelSite consists of entry VMs and engines in virtual time, driven by one goroutine.
// Each VM has its own Directory and receives the reports of the others of its cell.
type modelSite struct {
	vms     []*modelVM
	engines map[string]*modelEngine
	queue   eventQueue
	random  *rand.Rand
	streams []*modelStream
	list    []Listing
}

type modelVM struct {
	directory *Directory
	name      string
	zone      string
	cellPeers []*modelVM
	reporting bool
}

type modelEngine struct {
	slowness float64
	streams  []*modelStream
	running  bool
	starts   int
}

type modelStream struct {
	vm                    *modelVM
	server, copyAt        *Server
	load                  *StreamLoad
	prompt                int
	toPrefill, tokens     int // prompt tokens yet to be prefilled, and tokens yet to be generated
	begun                 time.Time
	firstEvent, completed time.Duration // since begun; 0: not yet
}

// modelEvent is an action at a time.
type modelEvent struct {
	at time.Time
	do func()
}

type eventQueue []modelEvent

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newModelSite returns a site of vms VMs with perVM servers each, spread over all zones.
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

// startVMs replaces all VMs by new ones that know only the list of servers.
func (m *modelSite) startVMs(vms int) {
	m.vms = nil
	cells := Cells(vms)
	for i := range vms {
		vm := &modelVM{directory: New(), name: fmt.Sprint("vm", i), zone: string(rune('a' + i%modelZones))}
		vm.directory.Apply(1, m.list, false, time.Now())
		vm.directory.SetCells(i%cells, cells)
		vm.directory.SetPartition(i/cells, (vms+cells-1)/cells)
		m.vms = append(m.vms, vm)
	}
	for i, vm := range m.vms {
		for j, other := range m.vms {
			if i != j && i%cells == j%cells {
				vm.cellPeers = append(vm.cellPeers, other)
			}
		}
	}
}

func (m *modelSite) after(wait time.Duration, do func()) {
	heap.Push(&m.queue, modelEvent{time.Now().Add(wait), do})
}

// run processes events until none is left.
func (m *modelSite) run() {
	for m.queue.Len() > 0 {
		next := heap.Pop(&m.queue).(modelEvent)
		time.Sleep(time.Until(next.at))
		next.do()
	}
}

// arrive schedules the arrival of streams for some time, at a rate per second and server.
func (m *modelSite) arrive(rate float64, during time.Duration) {
	gap := float64(time.Second) / (rate * float64(len(m.engines)))
	for at := 0.0; at < float64(during); at += gap * m.random.ExpFloat64() {
		m.after(time.Duration(at), m.begin)
	}
}

func (m *modelSite) begin() { m.beginAt(m.vms[m.random.IntN(len(m.vms))]) }

func (m *modelSite) beginAt(vm *modelVM) {
	s := &modelStream{
		vm: vm, begun: time.Now(),
		prompt: int(8000 * math.Exp(0.3*m.random.NormFloat64())), tokens: int(650 * math.Exp(0.2*m.random.NormFloat64())),
	}
	s.toPrefill = s.prompt
	m.streams = append(m.streams, s)
	m.place(s, s.vm.directory.Pick(Query{Service: "s", Zone: s.vm.zone, Prompt: s.prompt, Resumable: true}, s.begun))
}

// place starts a stream at a server and chooses another one for its copy.
func (m *modelSite) place(s *modelStream, server *Server) {
	s.server, s.load = server, server.BeginStream(s.toPrefill)
	s.copyAt = s.vm.directory.Pick(Query{
		Service: "s", Zone: s.vm.zone, Prompt: s.prompt, Copy: true, AvoidZone: server.Zone, Exclude: map[Start]bool{server.Start: true},
	}, time.Now())
	e := m.engines[server.ID]
	e.streams = append(e.streams, s)
	m.schedule(e)
	m.report(s.vm)
}

// lose has the first servers of a zone crash and restart after a time.
func (m *modelSite) lose(zone string, servers int, downtime time.Duration) {
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
	m.after(modelLossDelay, func() {
		for _, s := range lost {
			s.server.MarkLost(time.Now())
			s.load.End()
		}
		for _, s := range lost {
			m.placeAgain(s, zone)
		}
	})
	m.after(downtime, func() {
		for _, vm := range m.vms {
			vm.directory.Apply(vm.directory.View().Position+1, m.list, false, time.Now())
		}
	})
}

// placeAgain continues a stream at its copy, or prefills its prompt elsewhere.
func (m *modelSite) placeAgain(s *modelStream, zone string) {
	if s.firstEvent != 0 && s.copyAt != nil && !s.copyAt.IsDown(time.Now()) && !s.copyAt.Draining() {
		s.toPrefill = modelCopyLag
		m.place(s, s.copyAt)
		return
	}
	s.toPrefill = s.prompt
	m.place(s, s.vm.directory.Pick(Query{Service: "s", Zone: s.vm.zone, Prompt: s.prompt, Resumable: true, AfterDisruption: true, AvoidZone: zone}, time.Now()))
}

// schedule plans the next step of an engine with streams.
func (m *modelSite) schedule(e *modelEngine) {
	if e.running || len(e.streams) == 0 {
		return
	}
	e.running = true
	took := modelStep
	prefilling := e.prefilling()
	if prefilling != nil {
		took += modelChunkTime
	}
	start := e.starts
	m.after(time.Duration(e.slowness*float64(took)), func() {
		e.running = false
		if e.starts != start {
			m.schedule(e)
			return
		}
		m.step(e, prefilling)
		m.schedule(e)
	})
}

func (e *modelEngine) prefilling() *modelStream {
	for _, s := range e.streams {
		if s.toPrefill > 0 {
			return s
		}
	}
	return nil
}

func (m *modelSite) step(e *modelEngine, prefilling *modelStream) {
	if prefilling != nil {
		prefilling.toPrefill -= min(modelChunk, prefilling.toPrefill)
	}
	var left []*modelStream
	for _, s := range e.streams {
		if s.toPrefill > 0 || m.token(s) {
			left = append(left, s)
		}
	}
	e.streams = left
}

// token generates one token of a stream. It reports whether more are to come.
func (m *modelSite) token(s *modelStream) bool {
	switch {
	case s.firstEvent == 0:
		s.firstEvent = time.Since(s.begun)
		s.load.PromptPrefilled()
		m.report(s.vm)
	case s.load.prompt != 0:
		s.load.CachedPromptPrefilled()
		m.report(s.vm)
	}
	s.tokens--
	if s.tokens > 0 {
		return true
	}
	s.completed = time.Since(s.begun)
	s.load.End()
	m.report(s.vm)
	return false
}

// report schedules the reports of a VM's load and measurements to the others of its cell.
func (m *modelSite) report(vm *modelVM) {
	if vm.reporting {
		return
	}
	vm.reporting = true
	m.after(modelLoadDelay, func() {
		vm.reporting = false
		own := vm.directory.OwnLoad()
		for _, other := range vm.cellPeers {
			other.directory.SetPeerLoad(vm.name, own)
		}
	})
	m.after(modelSampleDelay, func() {
		for _, t := range vm.directory.TakeUnsentPrefillTimes() {
			for _, other := range vm.cellPeers {
				other.directory.RecordPeerPrefillTime(t, time.Now())
			}
		}
	})
}
