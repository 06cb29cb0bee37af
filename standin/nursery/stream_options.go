package nursery

// StreamOptions holds the options of all streams. They must be set before servers start.
type StreamOptions struct {
	// Length is the number of events of a stream; 0 means Events.
	Length int
	// OnEvent, if set, is called right before each event is written.
	OnEvent func(request string, event int)
}

func (o *StreamOptions) length() int {
	if o.Length > 0 {
		return o.Length
	}
	return Events
}

func (o *StreamOptions) notifyEvent(request string, event int) {
	if o.OnEvent != nil {
		o.OnEvent(request, event)
	}
}
