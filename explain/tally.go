package explain

import "time"

// slot is a second of a route.
type slot struct {
	second int64
	route  int32
}

// tally counts the requests that came in a second on a route.
type tally struct {
	counts [outcomes]int32
	// turned away: 400, 401, 404 and the like; blind: by a process that did not
	// hear from the store.
	turned, turnedBlind int32
}

// causeSlot is a cause in a second of a route. What a server's loss was, a
// zone's or its own, is decided once all lines are read.
type causeSlot struct {
	slot
	outcome Outcome
	cause   Cause
	try     failedTry // that its server broke off or left without an answer
	paused  pauseSlot // of one that its server's pause made late
}

// pauseSlot is a pause of about this length, at a process, in streams that ended
// about then.
type pauseSlot struct {
	process string
	length  time.Duration
	ended   int64 // second
}

// lengthStep and endedStep are what "about" means: streams of one process that
// stood still pause for the same time but for an event's, and end within seconds.
const (
	lengthStep = 200 * time.Millisecond
	endedStep  = 10 // seconds
)

func pauseOf(e *end) pauseSlot {
	ended := e.rec.at.Unix()
	return pauseSlot{e.rec.text(fieldProcess), e.pause.Round(lengthStep), ended - ended%endedStep}
}

// paused notes the server of a stream that paused for long.
func (p *Period) paused(at pauseSlot, server string) {
	servers := p.pauses[at]
	if servers == nil {
		servers = map[string]bool{}
		p.pauses[at] = servers
	}
	if len(servers) < stoodStillServers {
		servers[server] = true
	}
}

type causeTally struct {
	count    int32
	waited   time.Duration // by all
	examples []Example
}

// Example is a request that was not in time.
type Example struct {
	Request string        `json:"request"`
	Route   string        `json:"route"`
	Cause   Cause         `json:"cause"`
	Took    time.Duration `json:"took"`
	First   time.Duration `json:"first,omitempty"` // until the first event
	Pause   time.Duration `json:"pause,omitempty"` // the longest between events
	Server  string        `json:"server,omitempty"`
}

// maxExamples of a cause in a second are kept.
const maxExamples = 2
