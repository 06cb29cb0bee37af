package fleet

import (
	"context"
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/types"
)

const (
	// refusalInterval is the shortest time between two reports. It is less than the shortest
	// time after which refused callers come back.
	refusalInterval = 200 * time.Millisecond
	// refusalBytes is the length of a fingerprint (8) and the milliseconds for which it counts
	// (2).
	refusalBytes = 10
	// maxRefusals bounds how many refused requests are remembered. Those beyond it are
	// treated like new ones when their callers come back.
	maxRefusals = 16384
	// pruneInterval is the shortest time between two passes over all of them.
	pruneInterval = time.Second
)

// Refusals remembers which requests entry VMs have refused because they would begin too late.
// A caller comes back to another VM with another id, but with the same content. A report
// that is lost only makes its callers look like new ones.
type Refusals struct {
	socket *Socket

	mu      sync.Mutex
	until   map[types.Fingerprint]time.Time
	pruned  time.Time // when those that are over were last dropped
	pending []refusal
	changed chan struct{}
}

// refusal is a request that was refused, for as long as its caller may come back.
type refusal struct {
	fingerprint types.Fingerprint
	left        time.Duration
}

// NewRefusals returns a Refusals that communicates through a socket.
func NewRefusals(socket *Socket) *Refusals {
	r := &Refusals{socket: socket, until: map[types.Fingerprint]time.Time{}, changed: make(chan struct{}, 1)}
	socket.handle(kindRefusals, r.receive)
	return r
}

// Run reports refusals until ctx ends.
func (r *Refusals) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.changed:
		}
		r.report()
		if err := retry.Wait(ctx, refusalInterval); err != nil {
			return err
		}
	}
}

// Record records that this VM has refused a request whose caller may come back until then.
func (r *Refusals) Record(fp types.Fingerprint, until time.Time) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remember(fp, until, now)
	if len(r.pending) < maxRefusals {
		r.pending = append(r.pending, refusal{fp, until.Sub(now)})
	}
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Returns reports whether the caller of a request comes back after a refusal.
func (r *Refusals) Returns(fp types.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.until[fp])
}

// remember requires mu.
func (r *Refusals) remember(fp types.Fingerprint, until, now time.Time) {
	if len(r.until) >= maxRefusals && now.Sub(r.pruned) >= pruneInterval {
		r.pruned = now
		for other, end := range r.until {
			if !now.Before(end) {
				delete(r.until, other)
			}
		}
	}
	if len(r.until) < maxRefusals {
		r.until[fp] = until
	}
}

func (r *Refusals) report() {
	r.mu.Lock()
	pending := r.pending
	r.pending = nil
	r.mu.Unlock()
	const most = (maxDatagram - headerBytes) / refusalBytes
	for len(pending) > 0 {
		n := min(len(pending), most)
		r.socket.Send(encodeRefusals(pending[:n]))
		pending = pending[n:]
	}
}

// receive handles the report of another VM.
func (r *Refusals) receive(_ string, _ header, raw []byte, now time.Time) bool {
	refusals, ok := decodeRefusals(raw)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, refused := range refusals {
		r.remember(refused.fingerprint, now.Add(refused.left), now)
	}
	return ok
}

func encodeRefusals(refusals []refusal) body {
	raw := make([]byte, 0, len(refusals)*refusalBytes)
	for _, r := range refusals {
		raw = binary.BigEndian.AppendUint64(raw, uint64(r.fingerprint))
		raw = binary.BigEndian.AppendUint16(raw, uint16(min(max(0, r.left.Milliseconds()), math.MaxUint16)))
	}
	return body{kindRefusals, raw}
}

func decodeRefusals(raw []byte) ([]refusal, bool) {
	if len(raw) == 0 || len(raw)%refusalBytes != 0 {
		return nil, false
	}
	refusals := make([]refusal, 0, len(raw)/refusalBytes)
	for ; len(raw) > 0; raw = raw[refusalBytes:] {
		refusals = append(refusals, refusal{
			types.Fingerprint(binary.BigEndian.Uint64(raw)), time.Duration(binary.BigEndian.Uint16(raw[8:])) * time.Millisecond,
		})
	}
	return refusals, true
}
