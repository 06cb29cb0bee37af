package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/retry"
)

const (
	// minSendInterval is the shortest time between two reports, so that a burst of streams
	// goes into one.
	minSendInterval = 20 * time.Millisecond
	// resendInterval is how often an unchanged report is repeated, as a datagram may be
	// lost.
	resendInterval = time.Second
	// loadTTL is how long a report is valid. It covers a lost datagram, and bounds how long
	// the load of an entry VM that is gone still counts.
	loadTTL = 2500 * time.Millisecond
	// lossTTL is how long the loss of a server is reported.
	lossTTL = time.Second
)

// LoadsOptions configures a Loads.
type LoadsOptions struct {
	Socket    *Socket
	CellPeers func() []string // addresses of the receivers
	Directory *directory.Directory
}

// Loads reports the load that this entry VM has placed on each backend server to the other
// entry VMs, and receives their reports. Without it each VM sees only its own streams, and
// after the loss of a server all VMs choose the same idle servers: reading a prompt that
// takes one second then takes four.
//
// A report replaces the previous one of the same sender. One that is lost, late or
// duplicated only makes choices worse for a moment.
type Loads struct {
	opts LoadsOptions

	mu      sync.Mutex
	senders map[string]*loadSender // by sender
}

// loadSender is the state kept for one sender of reports.
type loadSender struct {
	header header
	at     time.Time
}

// NewLoads returns a Loads that communicates through opts.Socket.
func NewLoads(opts LoadsOptions) *Loads {
	l := &Loads{opts: opts, senders: map[string]*loadSender{}}
	opts.Socket.handle(kindLoads, l.receive)
	return l
}

// Run sends reports until ctx ends.
func (l *Loads) Run(ctx context.Context) error {
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	idle := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l.expire(time.Now())
			if idle {
				continue
			}
		case <-l.opts.Directory.LoadChanged():
		}
		own := l.opts.Directory.OwnLoad()
		idle = len(own) == 0
		l.opts.Socket.SendTo(encodeLoads(own, l.opts.Directory.LocalLosses(time.Now(), lossTTL)), l.opts.CellPeers())
		if err := retry.Wait(ctx, minSendInterval); err != nil {
			return err
		}
	}
}

// receive handles a report. One that can't be decoded, or is older than what is known, is
// dropped.
func (l *Loads) receive(from string, h header, raw []byte, now time.Time) bool {
	loads, lost, ok := decodeLoads(raw)
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.senders[from]
	if s == nil {
		s = &loadSender{}
		l.senders[from] = s
	}
	if !h.newerThan(s.header) {
		return true
	}
	l.opts.Directory.SetPeerLoad(from, loads)
	*s = loadSender{header: h, at: now}
	for _, server := range lost {
		l.opts.Directory.RecordPeerLoss(server, now)
	}
	return true
}

// expire drops the load of entry VMs that have been silent for loadTTL.
func (l *Loads) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from, s := range l.senders {
		if now.Sub(s.at) < loadTTL {
			continue
		}
		l.opts.Directory.SetPeerLoad(from, nil)
		if now.Sub(s.at) > senderTTL {
			delete(l.senders, from)
		}
	}
}

// senderTTL is how long the state of a silent sender, with its sequence number, is kept.
const senderTTL = time.Minute
