package directory

import "strconv"

// Start is one start of a backend server. A server that crashed may be started
// again under the id that it had: the new process holds and knows nothing of
// the former one, and only the time of its start tells them apart. Whatever
// means what a process holds (streams, copies of memory, its load, its loss) is
// kept by Start, what means the place (address, zone) by the id.
type Start struct {
	ID string
	// Born is the Unix millisecond of the start by the server's own clock; 0 if
	// it did not tell. It is compared with that of other starts of the same
	// server only: this process's time of day says nothing about it.
	Born int64
}

// betweenIDAndBorn separates the two in a start's name. It differs from
// event.AtServer, which stands before a server's name.
const betweenIDAndBorn = "#"

// String names the start in log lines.
func (s Start) String() string {
	if s.Born == 0 {
		return s.ID
	}
	return s.ID + betweenIDAndBorn + strconv.FormatInt(s.Born, 10)
}
