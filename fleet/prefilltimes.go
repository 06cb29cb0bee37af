package fleet

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/retry"
)

// prefillTimesInterval is how often new measurements are sent. The speed of a server changes
// less often, and each process measures a few servers per second.
const prefillTimesInterval = 200 * time.Millisecond

// PrefillTimes sends the measured prefill times of backend servers to the other entry VMs
// and receives theirs. A single VM uses each server too rarely to know its speed.
//
// Each measurement is sent once. If it is lost, the other VMs keep the older ones.
type PrefillTimes struct {
	socket    *Socket
	cellPeers func() []string // addresses of the receivers
	directory *directory.Directory
}

// NewPrefillTimes returns a PrefillTimes that communicates through a socket.
func NewPrefillTimes(socket *Socket, cellPeers func() []string, d *directory.Directory) *PrefillTimes {
	p := &PrefillTimes{socket: socket, cellPeers: cellPeers, directory: d}
	socket.handle(kindPrefillTimes, p.receive)
	return p
}

// Run sends new measurements until ctx ends.
func (p *PrefillTimes) Run(ctx context.Context) error {
	for {
		if err := retry.Wait(ctx, prefillTimesInterval); err != nil {
			return err
		}
		if times := p.directory.TakeUnsentPrefillTimes(); len(times) > 0 {
			p.socket.SendTo(encodePrefillTimes(times), p.cellPeers())
		}
	}
}

func (p *PrefillTimes) receive(_ string, _ header, raw []byte, now time.Time) bool {
	times, ok := decodePrefillTimes(raw)
	for _, t := range times {
		p.directory.RecordPeerPrefillTime(t, now)
	}
	return ok
}
