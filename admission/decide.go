package admission

import (
	"math"
	"time"
)

// Offer is a stream that is to be sent to a backend server.
type Offer struct {
	Rank      int           // position of its class among those of the service; 0 is the most urgent
	Ranks     int           // number of classes
	Objective time.Duration // from its arrival to its first event; 0: none
	// UrgentObjective is the tightest objective of the classes that are more urgent; 0: none
	// has one.
	UrgentObjective time.Duration
	Arrived         time.Time
	Retried         bool // a backend server has turned it away
	Returns         bool // its caller comes back after a refusal
	// Bound is set if only some of the servers may run it, so that those behind it need not
	// wait for it.
	Bound bool
	// Spread, from 0 to 1, is chosen at random for each stream. It spreads the times after
	// which refused callers return.
	Spread float64
}

// Outlook is what is expected of the servers, and of the streams that wait at this process.
type Outlook struct {
	Room     bool // a server has memory for the stream
	Measured bool // First and Reading are known
	Backlog  bool // prompts are queued at the best server
	// UrgentHeld is set if a more urgent stream is held back at another process: it waits, or
	// was refused a moment ago.
	UrgentHeld bool
	// First is the time to the first event at the best server, Reading the part of it in
	// which the stream's own prompt is read.
	First, Reading time.Duration

	// The rest is set by the queue.
	Ahead    int           // streams that start before this one
	Interval time.Duration // between two starts from the queue; 0: it isn't known
	Closed   time.Duration // for how long no stream of its class could start; 0: one can
	Kept     bool          // it is its turn by the share that is kept for its class
	Waits    bool          // the stream has been told to wait before
}

// Verdict is what happens to a stream.
type Verdict int

// Verdicts.
const (
	Start Verdict = iota
	Wait
	Refuse
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"start", "wait", "refuse"}[v] }

// Decision is the result of Decide.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration // of a refusal
	Expected   time.Duration // from the stream's arrival to its first event; 0: it starts whatever that is
	Limit      time.Duration // up to which First may be for the stream to start
}

const (
	// leastUrgentHeadroom is the part of the tightest objective that the least urgent class
	// leaves free at a server; the classes between leave a part in proportion to their rank.
	// Half of an objective holds the prompts that several processes send there before they
	// learn of each other's.
	leastUrgentHeadroom = 0.5
	// newWaitMargin is by how much the wait behind others is taken to be longer for a stream that
	// has not waited yet. More urgent ones may overtake it, and without a margin it would be
	// refused after a long wait, when its caller has no time left.
	newWaitMargin = 1.33
	// minRetryAfter is the shortest Retry-After: about the time in which a server reads half
	// a long prompt.
	minRetryAfter = 400 * time.Millisecond
	// spreadShare of the objective is the least range over which callers' returns are spread.
	spreadShare = 0.25
)

// Decide says whether a stream starts, waits or is refused.
//
// The load that it answers: for seconds, more prompts arrive than the servers can read
// within the objectives, in bursts of a less urgent class or since servers are lost. Sent at
// once, the prompts queue at the servers until those of every class are late. A stream is
// therefore put behind a backlog only as far as more urgent ones that come after it still
// begin in time there. Beyond that it waits, where a more urgent one overtakes it, and a
// stream that is expected to begin late is refused while its caller can still try again.
//
// A stream that finds an idle server starts, however slow that is: it delays no other, and a
// late response is better than none. Those that go on after a loss are not asked about.
func Decide(o Offer, l Outlook, now time.Time) Decision {
	waited := now.Sub(o.Arrived)
	if !l.Measured || !l.Backlog {
		l.First = 0 // an idle server is slow to every stream, and refusing them helps none
	}
	d := Decision{Limit: o.limit(l)}
	queued := max(l.behindOthers(), l.Closed)
	switch {
	case l.Ahead == 0 && l.Room && l.First == 0:
		return d
	case l.opens(d.Limit):
		d.Expected = waited + queued + l.First
	default:
		d.Expected = waited + max(queued, l.First-d.Limit) + min(l.First, d.Limit)
	}
	if l.Ahead > 0 || !l.opens(d.Limit) {
		d.Verdict = Wait
	}
	if o.Objective > 0 && d.Expected > o.Objective {
		d.Verdict = Refuse
		d.RetryAfter = o.retryAfter(max(queued, l.First-min(d.Limit, o.Objective)))
	}
	return d
}

// behindOthers returns how long the stream waits for those ahead of it.
func (l Outlook) behindOthers() time.Duration {
	wait := float64(l.Ahead) * float64(l.Interval)
	if !l.Waits {
		wait *= newWaitMargin
	}
	return time.Duration(wait)
}

// limit returns up to which time to its first event the stream may be put behind a backlog.
func (o Offer) limit(l Outlook) time.Duration {
	switch {
	case (o.Rank == 0 || o.UrgentObjective == 0) && o.Objective > 0:
		return o.Objective
	case o.Rank == 0 || o.UrgentObjective == 0:
		return math.MaxInt64
	}
	if l.Kept {
		return o.keptLimit()
	}
	if l.UrgentHeld {
		return 0 // it may have an idle server, but no place in a backlog
	}
	free := leastUrgentHeadroom * float64(o.Rank) / float64(max(1, o.Ranks-1))
	return min(time.Duration((1-free)*float64(o.UrgentObjective)), o.UrgentObjective-l.Reading)
}

// keptLimit is the limit of a stream that starts by the share that is kept for its class.
func (o Offer) keptLimit() time.Duration { return o.UrgentObjective }

// opens reports whether a stream with this limit may be sent to the best server.
func (l Outlook) opens(limit time.Duration) bool {
	return l.Room && (!l.Measured || !l.Backlog || l.First <= limit)
}

// retryAfter returns when a caller may come back that would have to wait that long.
func (o Offer) retryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(o.Spread*max(float64(wait), spreadShare*float64(o.Objective)))
}
