package measure

import (
	"time"

	"github.com/pearyard/pearyard/standin"
)

// settleTime lets cancels reach the engines after the answers have ended.
const settleTime = 500 * time.Millisecond

// Extra is what a run spent beyond the tokens of its answers.
type Extra struct {
	Delivered       int      `json:"tokens_delivered"`
	ThrownAway      int      `json:"tokens_thrown_away"` // generated and not delivered
	BegunAnew       int      `json:"answers_begun_anew"`
	Gone            []string `json:"gone,omitempty"` // why answers began anew
	Prefilled       float64  `json:"tokens_prefilled"`
	PrefilledAgain  float64  `json:"tokens_prefilled_for_resume"`
	JournalTokens   float64  `json:"journal_tokens_sent"`
	JournalBytes    float64  `json:"journal_bytes_sent"`
	JournalHeld     float64  `json:"journal_bytes_held"`
	ResumesByRouter float64  `json:"router_resumes"`
	RouterLatency   float64  `json:"router_resume_latency_mean_ms"`
}

// extra adds up what the run spent. Tokens of a killed engine count as
// delivered as far as a caller got them; the rest of its last step is unknown.
func (s *site) extra(calls []*call, c Cause, hits []goneOn) Extra {
	var out Extra
	for _, c := range calls {
		out.Delivered += len(c.texts)
		out.BegunAnew += c.restarts
		if c.gone != "" {
			out.Gone = append(out.Gone, c.gone)
		}
	}
	engines := s.engines()
	fromDead := 0
	if c.kills() {
		for _, h := range hits {
			if h.moved {
				fromDead += h.at
			}
		}
	}
	out.ThrownAway = int(engines.Tokens) + fromDead - out.Delivered
	out.Prefilled = float64(engines.Prefilled)
	var sidecars []*process
	for _, b := range s.backends {
		sidecars = append(sidecars, b.sidecar)
	}
	side, routers := sum(sidecars), sum(s.routers)
	out.PrefilledAgain = side["pearyard_sidecar_tokens_prefilled_for_resume_total"]
	out.JournalTokens = side["pearyard_journal_sent_tokens_total"]
	out.JournalBytes = side["pearyard_journal_sent_bytes_total"]
	out.JournalHeld = side["pearyard_journal_held_bytes"]
	out.ResumesByRouter = routers["pearyard_router_resume_latency_seconds_count"]
	if out.ResumesByRouter > 0 {
		out.RouterLatency = 1000 * routers["pearyard_router_resume_latency_seconds_sum"] / out.ResumesByRouter
	}
	return out
}

// engines adds up the counters of the engines that still run.
func (s *site) engines() standin.Counters {
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
