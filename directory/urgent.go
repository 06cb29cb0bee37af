package directory

// urgentWeight is how many streams one counts as that must end soon. The weight of
// ten is that of a long prompt: one that is read beside a stream holds it up for as
// long as it takes to be read.
const urgentWeight = 10

// Hasten says that the streams of this process must end soon, as the process is
// about to stop: from now on each weighs as much as a long prompt where prompts are
// placed, here and at the processes that are told of it.
//
// A prompt that is read beside a stream holds it up, and a stream that outlasts the grace
// period is cut.
func (d *Directory) Hasten() {
	d.urgent.Store(true)
	d.touch()
}

// weightOfStreams returns as how many streams those of this process on a server count
// where prompts are placed.
func weightOfStreams(streams int64, urgent bool) int64 {
	if urgent {
		return urgentWeight * streams
	}
	return streams
}
