package membership

import (
	"github.com/pearyard/pearyard/event"
)

// pendingEvent is an event to emit after the lock is released.
type pendingEvent struct {
	kind   event.Kind
	fields []any
}

// takeEvents handles the transitions since the last call and returns the events to
// emit for them.
func (m *Membership) takeEvents() []pendingEvent {
	var out []pendingEvent
	for _, t := range m.table.transitions {
		out = append(out, m.handleTransition(t)...)
	}
	m.table.transitions = nil
	if m.table.laterSelf > m.laterSelf {
		m.laterSelf = m.table.laterSelf
		out = append(out, pendingEvent{eventIncarnationBehind, []any{
			"own", uint64(m.opts.Self.Incarnation), "known", uint64(m.laterSelf)}})
	}
	return out
}

// handleTransition updates the probe ring and the metrics and returns the events
// to emit.
func (m *Membership) handleTransition(t transition) []pendingEvent {
	m.updateRing(t)
	var out []pendingEvent
	add := func(kind event.Kind, keyvals ...any) {
		base := []any{"member", t.ID, "address", t.Address, "zone", t.Zone, "incarnation", uint64(t.Incarnation)}
		out = append(out, pendingEvent{kind, append(base, keyvals...)})
	}
	if t.replaced != "" {
		add(eventReplaced, "replaced", t.replaced)
	}
	if t.ID == m.table.self {
		return append(out, m.ownEvents(t)...)
	}
	m.metrics.transitions.WithLabelValues(string(t.state())).Inc()
	switch state := t.state(); {
	case t.old == state:
	case t.old == "":
		add(eventJoined)
	case state == StateSuspect:
		add(eventSuspect)
	case state == StateDead:
		add(eventDead, "was", t.old)
	case state == StateLeaving && t.old == StateAlive:
		add(eventLeaving)
	default:
		add(eventRefuted, "was", t.old)
	}
	return out
}

func (m *Membership) ownEvents(t transition) []pendingEvent {
	if t.Leaving && t.old != StateLeaving {
		return []pendingEvent{{eventLeaving, []any{"member", t.ID, "self", true}}}
	}
	if t.Counter > 0 && t.old == t.state() {
		m.metrics.selfSuspected.Inc()
		return []pendingEvent{{eventSelfAccused, []any{"member", t.ID, "counter", t.Counter}}}
	}
	return nil
}
