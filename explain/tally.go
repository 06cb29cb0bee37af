package explain

import "time"

// bucket is one second of one route.
type bucket struct {
	second int64
	route  int32
}

// tally counts the requests that arrived in a bucket.
type tally struct {
	counts [outcomes]int32
	// rejected with 400, 401, 404 and the like; rejectedOutdated: of them by a process
	// that could not reach the store.
	rejected, rejectedOutdated int32
}

// causeBucket is a cause in a bucket. Whether the loss of a server was that of its
// zone is decided once all lines are read.
type causeBucket struct {
	bucket
	outcome Outcome
	cause   Cause
	attempt failedAttempt // for CauseServerLost
	pause   pauseBucket   // for CauseServerPause
}

// pauseBucket groups the streams of a process that paused for about the same time
// and ended at about the same time.
type pauseBucket struct {
	process string
	length  time.Duration
	ended   int64 // second
}

// lengthStep and endedStep are the granularity of a pauseBucket. When a process
// stalls, the pauses of its streams differ by at most the time between two events,
// and the streams end within seconds of each other.
const (
	lengthStep = 200 * time.Millisecond
	endedStep  = 10 // seconds
)

func pauseBucketOf(e *requestEnd) pauseBucket {
	ended := e.rec.at.Unix()
	return pauseBucket{e.rec.text(fieldProcess), e.pause.Round(lengthStep), ended - ended%endedStep}
}

// recordPause records the server of a stream with a long pause.
func (p *Period) recordPause(at pauseBucket, server string) {
	servers := p.pauses[at]
	if servers == nil {
		servers = map[string]bool{}
		p.pauses[at] = servers
	}
	if len(servers) < stallServers {
		servers[server] = true
	}
}

type causeTally struct {
	count    int32
	waited   time.Duration // sum over the requests
	examples []Example
}

// Example is one request that was not in time.
type Example struct {
	Request string        `json:"request"`
	Route   string        `json:"route"`
	Cause   Cause         `json:"cause"`
	Took    time.Duration `json:"took"`
	First   time.Duration `json:"first,omitempty"` // until the first event
	Pause   time.Duration `json:"pause,omitempty"` // the longest between events
	Server  string        `json:"server,omitempty"`
}

// maxExamples is how many examples of a cause are kept per bucket, and how many of
// them a CauseCount lists.
const maxExamples = 2
