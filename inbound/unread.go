package inbound

import (
	"time"

	"github.com/pearyard/pearyard/event"
)

// unreadDrops are the connections that one look has closed with bytes unread:
// their clients may have been waiting for an answer. A look tells of them in one
// line, whatever their number.
type unreadDrops struct {
	head         int // part of a head was read
	notDealtWith int // something was read that wasn't dealt with, or nothing was
	// betweenLookAndClose came after the look that found nothing: this process got
	// no processor time in between.
	betweenLookAndClose int
	longest             time.Duration
}

// add counts a connection by its phase and the time that it has taken.
func (u *unreadDrops) add(phase clientPhase, took time.Duration) {
	u.longest = max(u.longest, took)
	if phase == clientHead {
		u.head++
		return
	}
	u.notDealtWith++
}

// tell emits the line, if there is something to tell.
func (u *unreadDrops) tell(recorder *event.Recorder, limits Limits, late time.Duration) {
	if u.head+u.notDealtWith+u.betweenLookAndClose == 0 {
		return
	}
	recorder.Emit(EventUnreadDropped, "head", u.head, "not_dealt_with", u.notDealtWith, "between_look_and_close", u.betweenLookAndClose, "longest", u.longest,
		"idle_limit", limits.IdleTime, "head_limit", limits.HeaderTime, "look_late", late)
}

// lateClose is a time from a look to a close in which this process must have
// stood still.
const lateClose = 20 * time.Millisecond

// closes are the connections that one sweep has closed by the limits in force.
type closes struct {
	count   int
	longest time.Duration // from a connection's look until it was closed
}

func (c *closes) add(took time.Duration) {
	c.count++
	c.longest = max(c.longest, took)
}

// tell emits the line, if there is something to tell. A client whose request
// came while this process stood between a look and its close has neither an
// answer nor a refusal.
func (c *closes) tell(recorder *event.Recorder, limits Limits) {
	if c.longest >= lateClose {
		recorder.Emit(EventClosedLate, "closed", c.count, "look_to_close", c.longest,
			"idle_limit", limits.IdleTime, "head_limit", limits.HeaderTime)
	}
}
