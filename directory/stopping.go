package directory

// stoppingStreamWeight is the number of streams that one stream of a stopping process
// counts as. Ten streams weigh at least as much as a long prompt, whose prefill would
// delay the stream by its whole duration.
const stoppingStreamWeight = 10

// SetStopping records that this process is about to stop and its streams must end soon.
// From now on each weighs at least as much as a long prompt when prompts are placed, here
// and at the peers that learn of it: prefill on the same server delays a stream, and a
// stream that outlasts the grace period is cut off.
func (d *Directory) SetStopping() {
	d.stopping.Store(true)
	d.notifyLoadChanged()
}

// weightedStreams returns the number that a process's streams on a server count as when
// prompts are placed.
func weightedStreams(streams int64, stopping bool) int64 {
	if stopping {
		return stoppingStreamWeight * streams
	}
	return streams
}
