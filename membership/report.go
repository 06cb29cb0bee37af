package membership

import (
	"github.com/pearyard/pearyard/event"
)

// report is an event to emit once the lock is released.
type report struct {
	kind   event.Kind
	fields []any
}

func (m *Membership) takeReports() []report {
	var out []report
	for _, t := range m.table.transitions {
		out = append(out, m.reportOf(t)...)
	}
	m.table.transitions = nil
	if m.table.behind > m.behind {
		m.behind = m.table.behind
		out = append(out, report{eventIncarnationBehind, []any{
			"own", uint64(m.opts.Self.Incarnation), "known", uint64(m.behind)}})
	}
	return out
}

func (m *Membership) reportOf(t transition) []report {
	m.noteInRing(t)
	var out []report
	add := func(kind event.Kind, keyvals ...any) {
		base := []any{"member", t.ID, "address", t.Address, "zone", t.Zone, "incarnation", uint64(t.Incarnation)}
		out = append(out, report{kind, append(base, keyvals...)})
	}
	if t.took != "" {
		add(eventReplaced, "replaced", t.took)
	}
	if t.ID == m.table.self {
		return append(out, m.reportOwn(t)...)
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

func (m *Membership) reportOwn(t transition) []report {
	if t.Leaving && t.old != StateLeaving {
		return []report{{eventLeaving, []any{"member", t.ID, "self", true}}}
	}
	if t.Counter > 0 && t.old == t.state() {
		m.metrics.accused.Inc()
		return []report{{eventSelfAccused, []any{"member", t.ID, "counter", t.Counter}}}
	}
	return nil
}
