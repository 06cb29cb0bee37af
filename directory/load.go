package directory

import "time"

// Load is what one process has put on a server.
type Load struct {
	Server  uint32 // Hash of its id
	Streams int
	Prefill int // prompt tokens yet to be read
}

// Own returns the load of streams that this process has put on servers, those
// without any left out.
func (d *Directory) Own() []Load {
	var out []Load
	for _, s := range d.view.Load().byID {
		if n := s.streams.Load(); n > 0 {
			out = append(out, Load{Server: s.hash, Streams: int(n), Prefill: int(max(0, s.prefill.Load()))})
		}
	}
	return out
}

// Others replaces what one other process has told of its load by what it tells
// now. Servers that aren't known here are passed over.
func (d *Directory) Others(before, now []Load) {
	view := d.view.Load()
	for _, l := range before {
		view.addOther(l, -1)
	}
	for _, l := range now {
		view.addOther(l, 1)
	}
}

func (v *View) addOther(l Load, sign int64) {
	s := v.byHash[l.Server]
	if s == nil {
		return
	}
	s.otherStreams.Add(sign * int64(l.Streams))
	s.otherPrefill.Add(sign * int64(l.Prefill))
}

// LostElsewhere notes that another process found a server lost.
func (d *Directory) LostElsewhere(server uint32, now time.Time) {
	if s := d.view.Load().byHash[server]; s != nil && s.streams.Load() == 0 {
		s.Lost(now)
	}
}

// LostHere returns the servers that this process found lost within the last
// while.
func (d *Directory) LostHere(now time.Time, within time.Duration) []uint32 {
	var out []uint32
	for _, s := range d.view.Load().byID {
		if s.WasDownWithin(now, within) {
			out = append(out, s.hash)
		}
	}
	return out
}
