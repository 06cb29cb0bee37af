package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
)

const (
	// readers is how many entry VMs read the store for all. With two, the loss
	// of one leaves no gap.
	readers = 2
	// candidates is how many VMs say that they are there: enough to have readers
	// when some are lost at once. If all did, what is said would grow with the
	// square of their number.
	candidates = 8
	// sayEvery is how often each VM says that it is there and fit.
	sayEvery = time.Second
	// firstWord is when a VM first says that it is there: the registry of the others
	// has been read by then, which takes some milliseconds.
	firstWord = 150 * time.Millisecond
	// presence is how long a VM counts as there after its newest word; it covers
	// a lost datagram.
	presence = 2500 * time.Millisecond
	// stopLife is how long a VM's word counts that it stops: the grace period that
	// sites have and the time to start again.
	stopLife = 10 * time.Second
	// Cover is how long a reader's word stands for a look at the store. If all
	// readers are lost at once, the others look themselves after it: a change is
	// known everywhere within it and the time of one look, under the two seconds
	// allowed. Readers ask more often than that.
	Cover = 1350 * time.Millisecond
	// ReaderWait is how long a reader's question waits at the store.
	ReaderWait = 900 * time.Millisecond
	// maxAge is how old an answer may be to stand for the present: with Cover and
	// a look at the store it stays under the two seconds. A whole list may take
	// longer, and after a freeze an answer may be older than it looks.
	maxAge = 550 * time.Millisecond
)

// Subject is what is read from the store.
type Subject int

// Subjects.
const (
	Config Subject = iota
	List
	subjects
)

// Duty lets a few entry VMs read the store for all: each call is priced, and at
// 28 VMs that all wait for the same changes the calls cost 4% of what is earned.
//
// The first few VMs by the hash of their address say once a second whether the
// store answers them. Of those that are there and fit, the first two read; each
// says at once what it has read. The others look themselves only when no word has come for
// Cover. Views of who is there may differ: then more read than needed.
type Duty struct {
	opts DutyOptions
	self uint64
	fit  [subjects]atomic.Bool
	stop atomic.Bool // a planned stop has begun

	mu      sync.Mutex
	there   map[string]*presentVM // by address
	covered [subjects]time.Time
	asking  map[string]bool

	news [subjects]chan struct{} // hold a token when something newer is to be read
}

// DutyOptions of a Duty.
type DutyOptions struct {
	Address  string
	Socket   *Socket
	Position func(Subject) uint64 // place of what is in force here
	Size     func() int           // all VMs, this one included; very many until that is known
	// Fetch asks a peer for changes of the list.
	Fetch    func(ctx context.Context, peer string)
	Recorder *event.Recorder
}

type presentVM struct {
	head     head
	at       time.Time
	fit      bool
	stopping bool
	stopAt   time.Time // of the first word that it stops; zero while it serves
	rank     uint64
}

// NewDuty returns a Duty.
func NewDuty(opts DutyOptions) *Duty {
	d := &Duty{opts: opts, self: xxhash.Sum64String(opts.Address), there: map[string]*presentVM{}, asking: map[string]bool{}}
	for s := range subjects {
		d.news[s] = make(chan struct{}, 1)
	}
	opts.Socket.handle(kindWord, d.take)
	return d
}

// Run says that this VM is there until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	// The first word comes as soon as the others are known: they may send callers
	// away for as long as they take this VM for one that is stopping.
	for wait := firstWord; retry.Wait(ctx, wait) == nil; wait = sayEvery {
		if d.before() < candidates {
			d.say(word{})
		}
	}
	return ctx.Err()
}

func (d *Duty) say(w word) {
	w.fit, w.stopping = d.isFit(), d.stop.Load()
	w.config, w.listed = d.opts.Position(Config), d.opts.Position(List)
	d.opts.Socket.Send(encodeWord(w))
}

func (d *Duty) isFit() bool { return d.fit[Config].Load() && d.fit[List].Load() }

// Read notes that the store answered, with what may be so old, and tells the
// others if this VM is a reader.
func (d *Duty) Read(s Subject, age time.Duration) {
	d.fit[s].Store(true)
	if !d.Reads() {
		return
	}
	fresh := age <= maxAge
	d.say(word{configReadNow: fresh && s == Config, listReadNow: fresh && s == List})
}

// Failed notes that the store did not answer, and says so at once if it did before.
func (d *Duty) Failed(s Subject) {
	if d.fit[s].Swap(false) {
		d.say(word{})
	}
}

// Reads tells whether this VM is one of the readers.
func (d *Duty) Reads() bool { return d.before() < readers }

// Stopping notes that a planned stop of this VM has begun, and says so.
func (d *Duty) Stopping() {
	d.stop.Store(true)
	d.say(word{})
}

// AllStop tells whether all other VMs have said that they stop. Those that are
// silent serve: beyond the candidates VMs say nothing while they do, and words
// may be lost. A VM that stops says so once at least.
func (d *Duty) AllStop() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	stopping := 0
	for _, vm := range d.there {
		if vm.stopping && now.Sub(vm.at) < stopLife {
			stopping++
		}
	}
	return stopping > 0 && stopping+1 >= d.opts.Size()
}

// FirstStop returns when the first of the other VMs that stop said so; zero if
// none does. It is the one that is back first.
func (d *Duty) FirstStop() (first time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, vm := range d.there {
		if !vm.stopping || now.Sub(vm.at) >= stopLife {
			continue
		}
		if first.IsZero() || vm.stopAt.Before(first) {
			first = vm.stopAt
		}
	}
	return first
}

// before counts the VMs that are there, fit, and come first.
func (d *Duty) before() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	before := 0
	for _, vm := range d.there {
		if vm.fit && now.Sub(vm.at) < presence && vm.rank < d.self {
			before++
		}
	}
	return before
}

// Alone tells whether so few VMs are there that all of them read: then nobody
// waits for a word, and a question may wait at the store for longer.
func (d *Duty) Alone() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	there := 1
	for _, vm := range d.there {
		if now.Sub(vm.at) < presence {
			there++
		}
	}
	return there <= readers
}

// Covered returns for how long nothing has to be read: a reader has just said
// that what is in force here is the newest.
func (d *Duty) Covered(s Subject) time.Duration {
	if d.Reads() {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(0, time.Until(d.covered[s]))
}

// take takes in another VM's word.
func (d *Duty) take(from string, h head, raw []byte, now time.Time) bool {
	w, ok := decodeWord(raw)
	if !ok || !d.note(from, h, w, now) {
		return ok
	}
	read := [subjects]bool{Config: w.configReadNow, List: w.listReadNow}
	place := [subjects]uint64{Config: w.config, List: w.listed}
	for s := range subjects {
		d.heard(from, s, read[s], place[s], now)
	}
	return true
}

// note keeps who is there; it reports whether the word is news.
func (d *Duty) note(from string, h head, w word, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	vm := d.there[from]
	if vm == nil {
		vm = &presentVM{rank: xxhash.Sum64String(from)}
		d.there[from] = vm
	}
	if !h.after(vm.head) {
		return false
	}
	switch {
	case !w.stopping:
		vm.stopAt = time.Time{}
	case !vm.stopping:
		vm.stopAt = now
	}
	vm.head, vm.at, vm.fit, vm.stopping = h, now, w.fit, w.stopping
	for address, other := range d.there {
		if now.Sub(other.at) > forgetSender {
			delete(d.there, address)
		}
	}
	return true
}

func (d *Duty) heard(from string, s Subject, read bool, place uint64, now time.Time) {
	own := d.opts.Position(s)
	switch {
	case place > own && s == List:
		d.fetch(from, read, now)
		return
	case place > own:
		d.tellNews(s)
		return
	}
	if read && place == own {
		d.cover(s, now)
	}
}

func (d *Duty) cover(s Subject, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := at.Add(Cover); until.After(d.covered[s]) {
		d.covered[s] = until
	}
}

// tellNews has the subject read from the store here.
func (d *Duty) tellNews(s Subject) {
	d.mu.Lock()
	d.covered[s] = time.Time{}
	d.mu.Unlock()
	select {
	case d.news[s] <- struct{}{}:
	default:
	}
}

// fetch asks a peer for changes of the list, one question a peer at a time.
// What it can't tell as changes is read from the store.
func (d *Duty) fetch(peer string, read bool, at time.Time) {
	d.mu.Lock()
	busy := d.asking[peer]
	d.asking[peer] = true
	d.mu.Unlock()
	if busy {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), helpTimeout)
		defer cancel()
		before := d.opts.Position(List)
		d.opts.Fetch(ctx, peer)
		switch newer := d.opts.Position(List) > before; {
		case !newer:
			d.tellNews(List)
		case read:
			d.cover(List, at)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.asking, peer)
	}()
}
