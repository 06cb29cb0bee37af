package directory

import "time"

// Load is what one process has put on a server.
type Load struct {
	Server  uint32 // hash of its start
	Streams int    // each that must end soon counts as urgentWeight
	Copies  int    // copies of streams that run elsewhere
	Prefill int    // prompt tokens yet to be read
}

// Own returns the load of streams that this process has put on servers, those
// without any left out.
func (d *Directory) Own() []Load {
	var out []Load
	for _, s := range d.view.Load().byID {
		streams, copies := s.streams.Load(), s.copies.Load()
		if streams+copies > 0 {
			out = append(out, Load{Server: s.hash, Streams: int(weightOfStreams(streams, d.urgent.Load())), Copies: int(copies), Prefill: int(max(0, s.prefill.Load()))})
		}
	}
	return out
}

// Others replaces what one other process has told of its load; nil forgets it.
func (d *Directory) Others(from string, loads []Load) {
	d.othersMu.Lock()
	defer d.othersMu.Unlock()
	if len(loads) == 0 {
		delete(d.others, from)
	} else {
		d.others[from] = loads
	}
	d.unsummed.Store(true)
}

// sumEvery bounds how often sums are made anew: with hundreds of processes
// that tell, each telling would otherwise cost as much as a choice.
const sumEvery = 10 * time.Millisecond

// freshSums makes the sums of others' load anew if they have told something.
func (d *Directory) freshSums(now time.Time) {
	if !d.unsummed.Load() {
		return
	}
	d.othersMu.Lock()
	defer d.othersMu.Unlock()
	if now.Sub(d.summedAt) < sumEvery {
		return
	}
	d.summedAt = now
	d.unsummed.Store(false)
	d.sumOthers(d.view.Load())
}

// sumOthers adds up what the others have told, always from their newest words:
// sums that are kept up by differences go wrong for good once a server joins
// between two of them. Only servers that somebody has loaded are touched, a few
// hundred of thousands.
func (d *Directory) sumOthers(view *View) {
	sums := make(map[uint32]Load, len(d.summed))
	for _, loads := range d.others {
		for _, l := range loads {
			sum := sums[l.Server]
			sum.Streams += l.Streams
			sum.Copies += l.Copies
			sum.Prefill += l.Prefill
			sums[l.Server] = sum
		}
	}
	for hash := range d.summed {
		if _, still := sums[hash]; !still {
			view.byHash[hash].setOthers(Load{})
		}
	}
	for hash, sum := range sums {
		view.byHash[hash].setOthers(sum)
	}
	d.summed = sums
}

// setOthers notes what others have put on the server; nil is one that is gone.
func (s *Server) setOthers(sum Load) {
	if s == nil {
		return
	}
	s.otherStreams.Store(int64(sum.Streams))
	s.otherCopies.Store(int64(sum.Copies))
	s.otherPrefill.Store(int64(sum.Prefill))
	s.noteUnread()
}

// LostElsewhere notes that another process found a server lost. A start that is
// not known here is none of those that are: the word is dropped.
func (d *Directory) LostElsewhere(server uint32, now time.Time) {
	s := d.view.Load().byHash[server]
	if s == nil {
		d.dropped.Add(1)
		return
	}
	if s.streams.Load() == 0 {
		s.toldLost(now)
	}
}

// LostHere returns the servers that this process itself found lost within the
// last while. What it was only told is not among them: two processes would tell
// each other of a loss for good.
func (d *Directory) LostHere(now time.Time, within time.Duration) []uint32 {
	var out []uint32
	for _, s := range d.view.Load().byID {
		if s.lostHere(now, within) {
			out = append(out, s.hash)
		}
	}
	return out
}

// LostBeside counts the other servers of a server's zone and service that were
// lost within the last while.
func (d *Directory) LostBeside(s *Server, now time.Time, within time.Duration) int {
	count := 0
	for _, other := range d.view.Load().Service(s.Service) {
		if other.ID != s.ID && other.Zone == s.Zone && other.WasDownWithin(now, within) {
			count++
		}
	}
	return count
}
