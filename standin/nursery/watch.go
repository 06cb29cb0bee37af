package nursery

// Watch holds the options of all streams. A measurement sets them before servers
// start.
type Watch struct {
	// Length is the number of events of a stream; 0 means Events.
	Length int
	// Wrote, if set, is called right before each event is written.
	Wrote func(request string, event int)
}

func (w *Watch) length() int {
	if w.Length > 0 {
		return w.Length
	}
	return Events
}

func (w *Watch) notifyEvent(request string, event int) {
	if w.Wrote != nil {
		w.Wrote(request, event)
	}
}
