package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/httpconn"
	"github.com/pearyard/pearyard/site"
)

// unreadDrops are the connections that one look has closed with bytes unread:
// their callers may have been waiting for an answer. A look tells of them in one
// line, whatever their number.
type unreadDrops struct {
	idle, head int
	longest    time.Duration // in their phase
}

// add counts a connection that is about to be closed, if anything is unread on it.
func (u *unreadDrops) add(counter *prometheus.CounterVec, conn *clientConn, phase clientPhase, now time.Time) {
	if !httpconn.Unread(conn.Conn) {
		return
	}
	counter.WithLabelValues(phaseNames[phase]).Inc()
	u.longest = max(u.longest, now.Sub(conn.zero)-time.Duration(conn.since.Load()))
	if phase == clientHead {
		u.head++
		return
	}
	u.idle++
}

// tell emits the line, if there is something to tell.
func (u *unreadDrops) tell(recorder *event.Recorder, limits site.ClientLimits, late time.Duration) {
	if u.idle+u.head == 0 {
		return
	}
	recorder.Emit(EventUnreadDropped, "idle", u.idle, "head", u.head, "longest", u.longest,
		"idle_limit", limits.IdleTime, "head_limit", limits.HeaderTime, "look_late", late)
}
