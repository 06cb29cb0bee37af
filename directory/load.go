package directory

import "time"

// Load is the load that one process has put on a server.
type Load struct {
	Server  uint32 // hash of its start
	Streams int    // each stream of a stopping process counts as stoppingStreamWeight
	Copies  int    // copies of streams that run elsewhere
	Prefill int    // prompt tokens that await prefill
}

// OwnLoad returns the stream load that this process has put on servers, without servers
// that have none.
func (d *Directory) OwnLoad() []Load {
	var out []Load
	for _, s := range d.view.Load().byID {
		streams, copies := s.streams.Load(), s.copies.Load()
		if streams+copies > 0 {
			out = append(out, Load{Server: s.startHash, Streams: int(weightedStreams(streams, d.stopping.Load())), Copies: int(copies), Prefill: int(max(0, s.queuedTokens.Load()))})
		}
	}
	return out
}

// SetPeerLoad sets the load reported by one peer; an empty list removes it.
func (d *Directory) SetPeerLoad(from string, loads []Load) {
	d.peerLoadsMu.Lock()
	defer d.peerLoadsMu.Unlock()
	if len(loads) == 0 {
		delete(d.peerLoads, from)
	} else {
		d.peerLoads[from] = loads
	}
	d.totalsStale.Store(true)
}

// totalsInterval is the shortest time between two computations of the totals: with
// hundreds of peers, each report would otherwise cost as much as a choice.
const totalsInterval = 10 * time.Millisecond

// refreshPeerTotals computes the totals of the peers' load if any has reported since.
func (d *Directory) refreshPeerTotals(now time.Time) {
	if !d.totalsStale.Load() {
		return
	}
	d.peerLoadsMu.Lock()
	defer d.peerLoadsMu.Unlock()
	if now.Sub(d.totalsAt) < totalsInterval {
		return
	}
	d.totalsAt = now
	d.totalsStale.Store(false)
	d.computePeerTotals(d.view.Load())
}

// computePeerTotals adds up the newest reports of all peers. It always starts from zero:
// totals updated by differences stay wrong for good if a server joins between two
// reports. Only servers with load are touched, a few hundred out of thousands.
func (d *Directory) computePeerTotals(view *View) {
	sums := make(map[uint32]Load, len(d.peerTotals))
	for _, loads := range d.peerLoads {
		for _, l := range loads {
			sum := sums[l.Server]
			sum.Streams += l.Streams
			sum.Copies += l.Copies
			sum.Prefill += l.Prefill
			sums[l.Server] = sum
		}
	}
	for hash := range d.peerTotals {
		if _, still := sums[hash]; !still {
			view.byHash[hash].setPeerLoad(Load{})
		}
	}
	for hash, sum := range sums {
		view.byHash[hash].setPeerLoad(sum)
	}
	d.peerTotals = sums
}

// setPeerLoad sets the total load of other processes; a nil server is one that is gone.
func (s *Server) setPeerLoad(sum Load) {
	if s == nil {
		return
	}
	s.peerStreams.Store(int64(sum.Streams))
	s.peerCopies.Store(int64(sum.Copies))
	s.peerQueuedTokens.Store(int64(sum.Prefill))
	s.updateUtilization()
}

// RecordPeerLoss records that a peer found a server lost, unless this process has streams
// running there. Reports on a start that is not known here are dropped.
func (d *Directory) RecordPeerLoss(server uint32, now time.Time) {
	s := d.view.Load().byHash[server]
	if s == nil {
		d.droppedReports.Add(1)
		return
	}
	if s.streams.Load() == 0 {
		s.markDownByPeer(now)
	}
}

// LocalLosses returns the servers that this process itself found lost within the given
// time. Losses reported by peers are not included: otherwise two processes would report a
// loss to each other forever.
func (d *Directory) LocalLosses(now time.Time, within time.Duration) []uint32 {
	var out []uint32
	for _, s := range d.view.Load().byID {
		if s.lostLocally(now, within) {
			out = append(out, s.startHash)
		}
	}
	return out
}
