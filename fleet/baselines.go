package fleet

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/rollout"
	"github.com/pearyard/pearyard/types"
)

const (
	// baselineInterval is how often baselines are sent while several versions of a service are
	// listed. Only then do they matter, and VMs that differ must agree within seconds.
	baselineInterval = time.Second
	// baselinePeers is how many VMs they are sent to, so that their number doesn't grow with the
	// square of the number of VMs.
	baselinePeers = 3
)

// Baselines keeps entry VMs agreed on which versions of each service need no order. A VM that
// receives one which its own supersedes answers with its own.
type Baselines struct {
	socket     *Socket
	peers      func() []string
	controller *rollout.Controller
}

// NewBaselines returns a Baselines that communicates through a socket.
func NewBaselines(socket *Socket, peers func() []string, controller *rollout.Controller) *Baselines {
	b := &Baselines{socket: socket, peers: peers, controller: controller}
	socket.handle(kindBaselines, b.receive)
	return b
}

// Run sends baselines until ctx ends.
func (b *Baselines) Run(ctx context.Context) error {
	for retry.Wait(ctx, baselineInterval) == nil {
		if b.controller.HasMixedService() {
			b.sendTo(somePeers(b.peers(), baselinePeers))
		}
	}
	return ctx.Err()
}

// somePeers returns up to n addresses at random.
func somePeers(peers []string, n int) []string {
	chosen := make([]string, 0, n)
	for _, i := range rand.Perm(len(peers))[:min(n, len(peers))] {
		chosen = append(chosen, peers[i])
	}
	return chosen
}

// all returns the baselines that are kept in the store. A nil Baselines has none.
func (b *Baselines) all() []rollout.Baseline {
	if b == nil {
		return nil
	}
	return b.controller.Baselines()
}

// merge takes over baselines from the store.
func (b *Baselines) merge(list []rollout.Baseline) {
	if b == nil {
		return
	}
	for _, offered := range list {
		b.controller.MergeBaseline(offered, "store")
	}
}

// sendTo sends all baselines to some peers.
func (b *Baselines) sendTo(peers []string) {
	for _, datagram := range encodeBaselines(b.all()) {
		b.socket.SendTo(datagram, peers)
	}
}

// receive takes over the baselines of a peer, and returns those that supersede them.
func (b *Baselines) receive(from string, _ header, raw []byte, _ time.Time) bool {
	list, ok := decodeBaselines(raw)
	var better []rollout.Baseline
	for _, offered := range list {
		if current := b.controller.MergeBaseline(offered, from); current.Supersedes(offered) {
			better = append(better, current)
		}
	}
	for _, datagram := range encodeBaselines(better) {
		b.socket.SendTo(datagram, []string{from})
	}
	return ok
}

// encodeBaselines encodes baselines as datagrams: for each the hash of the service (4), the
// positions of the order and of the list (8 each), the number of versions (1) and their names.
// One that fits no datagram is left out.
func encodeBaselines(list []rollout.Baseline) []body {
	var datagrams []body
	var raw []byte
	for _, b := range list {
		encoded := binary.BigEndian.AppendUint32(nil, b.Service)
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(b.Order))
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(b.Seen))
		encoded = append(encoded, byte(len(b.Versions)))
		for _, version := range b.Versions {
			encoded = appendText(encoded, version)
		}
		if len(b.Versions) > maxBaselineVersions || headerBytes+len(encoded) > maxDatagram {
			continue
		}
		if headerBytes+len(raw)+len(encoded) > maxDatagram {
			datagrams, raw = append(datagrams, body{kindBaselines, raw}), nil
		}
		raw = append(raw, encoded...)
	}
	if len(raw) > 0 {
		datagrams = append(datagrams, body{kindBaselines, raw})
	}
	return datagrams
}

// maxBaselineVersions is how many versions one byte can count.
const maxBaselineVersions = 255

func decodeBaselines(raw []byte) ([]rollout.Baseline, bool) {
	in := reader{raw: raw, ok: true}
	var list []rollout.Baseline
	for len(in.raw) > 0 && in.ok {
		b := rollout.Baseline{Service: in.uint32(), Order: types.Position(in.uint64()), Seen: types.Position(in.uint64())}
		for range in.byte() {
			b.Versions = append(b.Versions, in.text())
		}
		if in.ok {
			list = append(list, b)
		}
	}
	return list, in.ok
}
