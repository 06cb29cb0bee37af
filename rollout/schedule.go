package rollout

import "time"

// Schedule divides the time from an order to its deadline.
type Schedule struct {
	JudgeAt    time.Time // a version that is not bad by then is handed over to
	CompleteAt time.Time // it is completed then unless it turns out bad meanwhile
}

const (
	// deadlineMargin is how long before its deadline a roll-out is completed: time for the
	// write, for its repetition, and for another decider to take over.
	deadlineMargin = 1500 * time.Millisecond
	// maxHandover bounds the handover; most answers take less.
	maxHandover = 6 * time.Second
	// handoverFraction bounds the handover of a short roll-out.
	handoverFraction = 0.3
	// marginFraction bounds the margin of a short roll-out.
	marginFraction = 0.15
)

// NewSchedule returns the schedule of a roll-out.
func NewSchedule(deadline time.Time, duration time.Duration) Schedule {
	margin := min(deadlineMargin, time.Duration(marginFraction*float64(duration)))
	handover := min(maxHandover, time.Duration(handoverFraction*float64(duration)))
	complete := deadline.Add(-margin)
	return Schedule{JudgeAt: complete.Add(-handover), CompleteAt: complete}
}

// Step returns the phase that a roll-out in a phase moves to, given what has been
// observed. It returns Completed or Reverted if that outcome is to be written to the store.
func (s Schedule) Step(p Phase, h History, now time.Time) Phase {
	switch {
	case p.Final():
		return p
	case p == Stopped:
		return Reverted
	case Judge(h) == Bad:
		return Stopped
	case p != Handover && now.Before(s.JudgeAt):
		return Trial
	case p == Handover && now.Before(s.CompleteAt):
		return Handover
	case JudgeFinally(h) == Bad:
		return Stopped
	case now.Before(s.CompleteAt):
		return Handover
	default:
		return Completed
	}
}
