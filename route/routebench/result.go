package routebench

import (
	"slices"
	"time"
)

// result gathers the figures of one run; those by time only within the window.
type result struct {
	asked, asks, sent, shed, gaveUp, resumed, done int

	blocks, hits int
	first        []time.Duration
	spread       []float64
	affectedPeak float64 // greatest load of the runners that the fault is about, in parts of the mean of the others
	toAffected   int
	dispatched   int
	askedFrom    [2]int // asks and sent at the window's beginning
	windowAsks   int
	windowSent   int
	windowShed   int
	shedFrom     int
	windowDone   int
	doneFrom     int
	opened       bool
	windowed     []*request // requests asked in the window that got a token
}

func (s *sim) counting() bool {
	from, to := s.opts.fault.window()
	return s.clock.now >= from && s.clock.now < to
}

func (r *result) prefilled(s *sim, _ *request, blocks, hit int) {
	if s.counting() {
		r.blocks += blocks
		r.hits += hit
	}
}

func (r *result) firstToken(s *sim, q *request, took time.Duration) {
	from, to := s.opts.fault.window()
	if q.asked >= from && q.asked < to {
		r.first = append(r.first, took)
		r.windowed = append(r.windowed, q)
	}
}

func (r *result) dispatch(s *sim, runner *runner) {
	if !s.counting() {
		return
	}
	r.dispatched++
	if s.opts.fault.affected(runner) {
		r.toAffected++
	}
}

// sample is called once a second.
func (r *result) sample(s *sim) {
	if !s.counting() {
		return
	}
	if !r.opened {
		r.opened = true
		r.askedFrom = [2]int{r.asks, r.sent}
		r.shedFrom, r.doneFrom = r.shed, r.done
	}
	r.windowAsks, r.windowSent = r.asks-r.askedFrom[0], r.sent-r.askedFrom[1]
	r.windowShed, r.windowDone = r.shed-r.shedFrom, r.done-r.doneFrom
	top, sum, n := 0, 0, 0
	affectedTop, otherSum, others := 0, 0, 0
	for _, runner := range s.runners {
		if !runner.alive {
			continue
		}
		top, sum, n = max(top, runner.load()), sum+runner.load(), n+1
		if s.opts.fault.affected(runner) {
			affectedTop = max(affectedTop, runner.load())
			continue
		}
		otherSum, others = otherSum+runner.load(), others+1
	}
	if sum > 0 {
		r.spread = append(r.spread, float64(top)*float64(n)/float64(sum))
	}
	if otherSum > 0 {
		r.affectedPeak = max(r.affectedPeak, float64(affectedTop)*float64(others)/float64(otherSum))
	}
}

// figures are what a run is judged by.
type figures struct {
	HitRate         float64 `json:"hit_rate"`
	PrefilledTokens float64 `json:"prefilled_tokens"`
	FirstP50        float64 `json:"first_token_p50_ms"`
	FirstP95        float64 `json:"first_token_p95_ms"`
	FirstP99        float64 `json:"first_token_p99_ms"`
	GapP99          float64 `json:"token_gap_p99_ms"`
	Spread          float64 `json:"load_max_over_mean"`
	AffectedShare   float64 `json:"share_sent_to_affected"`
	AffectedPeak    float64 `json:"affected_peak_over_mean"`
	SentPerAsked    float64 `json:"sent_per_asked"`
	Shed            float64 `json:"shed"`
	Done            float64 `json:"done"`
	GaveUp          float64 `json:"gave_up"`
}

func (r *result) figures() figures {
	slices.Sort(r.first)
	return figures{
		HitRate:         ratio(r.hits, r.blocks),
		PrefilledTokens: float64((r.blocks - r.hits) * tokensPerBlok),
		FirstP50:        quantile(r.first, 0.50),
		FirstP95:        quantile(r.first, 0.95),
		FirstP99:        quantile(r.first, 0.99),
		GapP99:          quantile(r.gaps(), 0.99),
		Spread:          mean(r.spread),
		AffectedShare:   ratio(r.toAffected, r.dispatched),
		AffectedPeak:    r.affectedPeak,
		SentPerAsked:    ratio(r.windowSent, r.windowAsks),
		Shed:            float64(r.windowShed),
		Done:            float64(r.windowDone),
		GaveUp:          float64(r.gaveUp),
	}
}

// gaps returns the mean time between two tokens of each request of the window.
func (r *result) gaps() []time.Duration {
	var out []time.Duration
	for _, q := range r.windowed {
		if q.emitted > 1 {
			out = append(out, (q.lastAt-q.firstAt)/time.Duration(q.emitted-1))
		}
	}
	slices.Sort(out)
	return out
}

func ratio(a, b int) float64 { return float64(a) / float64(max(1, b)) }

func quantile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := min(len(sorted)-1, int(p*float64(len(sorted))))
	return float64(sorted[at].Microseconds()) / 1000
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}
