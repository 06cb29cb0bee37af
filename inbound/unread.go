package inbound

import (
	"time"

	"github.com/pearyard/pearyard/event"
)

// unreadCloses counts the connections that one sweep has closed with unread data:
// their clients may be waiting for a response. A sweep reports all of them in one event.
type unreadCloses struct {
	header    int // part of a header was read, and more data was unread
	unhandled int // the first data was unread, or data was read but not processed
	// betweenCheckAndClose counts those whose data arrived after a check that found
	// none: this process got no CPU time in between.
	betweenCheckAndClose int
	longest              time.Duration
}

// add counts a connection by its phase and the time that counted against its limit.
func (u *unreadCloses) add(phase connPhase, elapsed time.Duration) {
	u.longest = max(u.longest, elapsed)
	if phase == phaseHeader {
		u.header++
		return
	}
	u.unhandled++
}

// emit emits an event if there were such connections. delay is how late the sweep was.
func (u *unreadCloses) emit(recorder *event.Recorder, limits Limits, delay time.Duration) {
	if u.header+u.unhandled+u.betweenCheckAndClose == 0 {
		return
	}
	recorder.Emit(EventUnreadDropped, "head", u.header, "not_dealt_with", u.unhandled, "between_look_and_close", u.betweenCheckAndClose, "longest", u.longest,
		"idle_limit", limits.IdleTime, "head_limit", limits.HeaderTime, "look_late", delay)
}

// slowCloseThreshold is the time between a check and the close above which this
// process must have stalled.
const slowCloseThreshold = 20 * time.Millisecond

// limitCloses counts the connections that one sweep has closed by the limits in force.
type limitCloses struct {
	count   int
	longest time.Duration // from a connection's check until it was closed
}

func (c *limitCloses) add(elapsed time.Duration) {
	c.count++
	c.longest = max(c.longest, elapsed)
}

// emit emits an event if a close was slow. A client whose request arrived while this
// process stalled between a check and the close got neither a response nor a refusal.
func (c *limitCloses) emit(recorder *event.Recorder, limits Limits) {
	if c.longest >= slowCloseThreshold {
		recorder.Emit(EventClosedLate, "closed", c.count, "look_to_close", c.longest,
			"idle_limit", limits.IdleTime, "head_limit", limits.HeaderTime)
	}
}
