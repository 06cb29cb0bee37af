package membership

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/types"
)

const metricsPrefix = "pearyard_membership_"

type metrics struct {
	members       *prometheus.GaugeVec
	pending       prometheus.Gauge
	cutOff        prometheus.Gauge
	probes        *prometheus.CounterVec
	transitions   *prometheus.CounterVec
	records       *prometheus.CounterVec
	syncs         *prometheus.CounterVec
	selfSuspected prometheus.Counter
	frozen        prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		members:       gauges("members", "Known members by role and state.", "role", "state"),
		pending:       gauge("pending_changes", "Changes still being passed on."),
		cutOff:        gauge("cut_off", "1 while this process reaches less than half of the members."),
		probes:        counters("probes_total", "Probes sent by kind and result.", "kind", "result"),
		transitions:   counters("transitions_total", "Changes of other members by the state reached.", "state"),
		records:       counters("records_total", "Records on the wire by direction.", "direction"),
		syncs:         counters("syncs_total", "Comparisons of whole lists by result.", "result"),
		selfSuspected: counter("self_accused_total", "Times this process was held suspect or dead."),
		frozen:        counter("frozen_total", "Times this process found that it hadn't run."),
	}
	if reg != nil {
		reg.MustRegister(m.members, m.pending, m.cutOff, m.probes, m.transitions, m.records, m.syncs, m.selfSuspected, m.frozen)
	}
	return m
}

func (m *metrics) setMembers(v *View, pending int) {
	counts := map[types.Role]map[State]int{types.RoleRouter: {}, types.RoleSidecar: {}}
	for i := range v.Members {
		if byState, ok := counts[v.Members[i].Role]; ok {
			byState[v.Members[i].State]++
		}
	}
	for role, byState := range counts {
		for _, state := range []State{StateAlive, StateSuspect, StateLeaving, StateDead} {
			m.members.WithLabelValues(string(role), string(state)).Set(float64(byState[state]))
		}
	}
	m.pending.Set(float64(pending))
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: metricsPrefix + name, Help: help})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: metricsPrefix + name, Help: help}, labels)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: metricsPrefix + name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricsPrefix + name, Help: help}, labels)
}
