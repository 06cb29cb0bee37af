package nursery

// StreamOptions holds the options of all streams. A measurement sets them before servers
// start.
type StreamOptions struct {
	// Length is the number of events of a stream; 0 means Events.
	Length int
	// OnEvent, if set, is called right before each event is written.
	OnEvent func(request string, event int)
}

func (w *StreamOptions) length() int {
	if w.Length > 0 {
		return w.Length
	}
	return Events
}

func (w *StreamOptions) notifyEvent(request string, event int) {
	if w.OnEvent != nil {
		w.OnEvent(request, event)
	}
}
