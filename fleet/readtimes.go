package fleet

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/retry"
)

// readTimesInterval is how often new measurements are sent. The speed of a server changes
// less often, and each process measures a few servers per second.
const readTimesInterval = 200 * time.Millisecond

// ReadTimes sends the measured prompt reading speed of backend servers to the other entry
// VMs and receives theirs. A single VM uses each server too rarely to know its speed.
//
// Each measurement is sent once. If it is lost, the other VMs keep the older ones.
type ReadTimes struct {
	socket    *Socket
	cellPeers func() []string // addresses of the receivers
	directory *directory.Directory
}

// NewReadTimes returns a ReadTimes that communicates through a socket.
func NewReadTimes(socket *Socket, near func() []string, d *directory.Directory) *ReadTimes {
	r := &ReadTimes{socket: socket, cellPeers: near, directory: d}
	socket.handle(kindReadTimes, r.receive)
	return r
}

// Run sends new measurements until ctx ends.
func (r *ReadTimes) Run(ctx context.Context) error {
	for {
		if err := retry.Wait(ctx, readTimesInterval); err != nil {
			return err
		}
		if times := r.directory.TakeUnsentPrefillTimes(); len(times) > 0 {
			r.socket.SendTo(encodeReadTimes(times), r.cellPeers())
		}
	}
}

func (r *ReadTimes) receive(_ string, _ header, raw []byte, now time.Time) bool {
	times, ok := decodeReadTimes(raw)
	for _, t := range times {
		r.directory.RecordPeerPrefillTime(t, now)
	}
	return ok
}
