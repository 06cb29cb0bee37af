package measure

import (
	"time"

	"github.com/pearyard/pearyard/standin"
)

// settleTime gives cancellations time to reach the engines after the answers have ended.
const settleTime = 500 * time.Millisecond

// RunCost is the work of one run, in particular beyond the tokens of its answers.
type RunCost struct {
	Delivered          int      `json:"tokens_delivered"`
	Discarded          int      `json:"tokens_thrown_away"` // generated but not delivered
	Restarted          int      `json:"answers_begun_anew"`
	Gone               []string `json:"gone,omitempty"` // bodies of 410 responses, which say why answers started again
	Prefilled          float64  `json:"tokens_prefilled"`
	PrefilledForResume float64  `json:"tokens_prefilled_for_resume"`
	JournalTokens      float64  `json:"journal_tokens_sent"`
	JournalBytes       float64  `json:"journal_bytes_sent"`
	JournalHeld        float64  `json:"journal_bytes_held"` // at the end of the run
	ResumesByRouter    float64  `json:"router_resumes"`
	RouterLatency      float64  `json:"router_resume_latency_mean_ms"`
}

// runCost adds up the work of a run. Tokens of a killed engine count as delivered
// as far as a caller received them; how many more it generated in its last step is
// unknown.
func (s *site) runCost(calls []*call, cause Cause, hits []resumption) RunCost {
	var out RunCost
	for _, c := range calls {
		out.Delivered += len(c.texts)
		out.Restarted += c.restarts
		if c.gone != "" {
			out.Gone = append(out.Gone, c.gone)
		}
	}
	engines := s.sumEngineCounters()
	fromKilled := 0 // tokens that callers received from killed engines
	if cause.killsEngines() {
		for _, h := range hits {
			if h.newAttempt {
				fromKilled += h.index
			}
		}
	}
	out.Discarded = int(engines.Tokens) + fromKilled - out.Delivered
	out.Prefilled = float64(engines.Prefilled)
	var sidecars []*process
	for _, b := range s.backends {
		sidecars = append(sidecars, b.sidecar)
	}
	sidecarMetrics, routerMetrics := sumMetrics(sidecars), sumMetrics(s.routers)
	out.PrefilledForResume = sidecarMetrics["pearyard_sidecar_tokens_prefilled_for_resume_total"]
	out.JournalTokens = sidecarMetrics["pearyard_journal_sent_tokens_total"]
	out.JournalBytes = sidecarMetrics["pearyard_journal_sent_bytes_total"]
	out.JournalHeld = sidecarMetrics["pearyard_journal_held_bytes"]
	out.ResumesByRouter = routerMetrics["pearyard_router_resume_latency_seconds_count"]
	if out.ResumesByRouter > 0 {
		out.RouterLatency = 1000 * routerMetrics["pearyard_router_resume_latency_seconds_sum"] / out.ResumesByRouter
	}
	return out
}

// sumEngineCounters adds up the counters of the engines that still run.
func (s *site) sumEngineCounters() standin.Counters {
	var out standin.Counters
	for _, b := range s.backends {
		got, err := engineCounters(b.engine)
		if err != nil {
			continue
		}
		out.Tokens += got.Tokens
		out.Prefilled += got.Prefilled
		out.Requests += got.Requests
		out.Cancelled += got.Cancelled
	}
	return out
}
