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
