package fleet

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/retry"
)

// tellReadTimes is how often new measures are told: a server's speed changes less often,
// and each process measures some servers a second.
const tellReadTimes = 200 * time.Millisecond

// ReadTimes tells the other entry VMs how fast backend servers read prompts, and takes in
// what they tell: each VM alone meets a server too rarely to know.
//
// Each measure is told once. One that is lost leaves the others with older ones.
type ReadTimes struct {
	socket    *Socket
	near      func() []string // who is told
	directory *directory.Directory
}

// NewReadTimes returns a ReadTimes that speaks through a socket.
func NewReadTimes(socket *Socket, near func() []string, d *directory.Directory) *ReadTimes {
	r := &ReadTimes{socket: socket, near: near, directory: d}
	socket.handle(kindReadTimes, r.take)
	return r
}

// Run tells until ctx ends.
func (r *ReadTimes) Run(ctx context.Context) error {
	for {
		if err := retry.Wait(ctx, tellReadTimes); err != nil {
			return err
		}
		if times := r.directory.TakeUnsentPrefillTimes(); len(times) > 0 {
			r.socket.SendTo(encodeReadTimes(times), r.near())
		}
	}
}

func (r *ReadTimes) take(_ string, _ head, raw []byte, now time.Time) bool {
	times, ok := decodeReadTimes(raw)
	for _, t := range times {
		r.directory.RecordPeerPrefillTime(t, now)
	}
	return ok
}
