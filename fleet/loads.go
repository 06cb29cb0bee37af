package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/retry"
)

const (
	// tellEvery is the shortest time between two tellings: a burst of streams
	// goes into one.
	tellEvery = 20 * time.Millisecond
	// tellAgain is how often an unchanged load is told; a telling may be lost.
	tellAgain = time.Second
	// loadLife is how long a telling counts. It covers two that were lost; an
	// entry VM that is gone leaves no load for longer.
	loadLife = 2500 * time.Millisecond
	// lossLife is how long a server found lost is told of.
	lossLife = time.Second
)

// LoadsOptions of a Loads.
type LoadsOptions struct {
	Socket    *Socket
	Near      func() []string // who is told
	Directory *directory.Directory
}

// Loads tells the other entry VMs what this one has put on which backend
// server, and takes in what they tell. Without it each sees only its own
// streams, and after a loss they all choose the same idle servers: a prompt
// that takes a second to be read then takes four.
//
// A telling replaces the sender's former one. One that is lost, late or
// doubled makes a choice worse for a moment and nothing else.
type Loads struct {
	opts LoadsOptions

	mu   sync.Mutex
	from map[string]*told // by sender
}

type told struct {
	head head
	at   time.Time
}

// NewLoads returns a Loads that speaks through a socket.
func NewLoads(opts LoadsOptions) *Loads {
	l := &Loads{opts: opts, from: map[string]*told{}}
	opts.Socket.handle(kindLoads, l.take)
	return l
}

// Run tells until ctx ends.
func (l *Loads) Run(ctx context.Context) error {
	again := time.NewTicker(tellAgain)
	defer again.Stop()
	idle := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-again.C:
			l.expire(time.Now())
			if idle {
				continue
			}
		case <-l.opts.Directory.LoadChanged():
		}
		own := l.opts.Directory.OwnLoad()
		idle = len(own) == 0
		l.opts.Socket.SendTo(encodeLoads(own, l.opts.Directory.LocalLosses(time.Now(), lossLife)), l.opts.Near())
		if err := retry.Wait(ctx, tellEvery); err != nil {
			return err
		}
	}
}

// take takes in one telling; what can't be read or is older than what is known
// is dropped.
func (l *Loads) take(from string, h head, raw []byte, now time.Time) bool {
	loads, lost, ok := decodeLoads(raw)
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.from[from]
	if t == nil {
		t = &told{}
		l.from[from] = t
	}
	if !h.after(t.head) {
		return true
	}
	l.opts.Directory.SetPeerLoad(from, loads)
	*t = told{head: h, at: now}
	for _, server := range lost {
		l.opts.Directory.RecordPeerLoss(server, now)
	}
	return true
}

// expire drops the load of entry VMs that have fallen silent.
func (l *Loads) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from, t := range l.from {
		if now.Sub(t.at) < loadLife {
			continue
		}
		l.opts.Directory.SetPeerLoad(from, nil)
		if now.Sub(t.at) > forgetSender {
			delete(l.from, from)
		}
	}
}

// forgetSender is when a silent sender's numbers are forgotten.
const forgetSender = time.Minute
