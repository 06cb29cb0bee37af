package nursery

// Watch is what a measurement sets of all streams, before servers start.
type Watch struct {
	// Length is how many events a stream has; 0: Events.
	Length int
	// Wrote, if set, is told of each event right before it is written.
	Wrote func(request string, event int)
}

func (w *Watch) length() int {
	if w.Length > 0 {
		return w.Length
	}
	return Events
}

func (w *Watch) wrote(request string, event int) {
	if w.Wrote != nil {
		w.Wrote(request, event)
	}
}
