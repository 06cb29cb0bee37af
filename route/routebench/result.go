package routebench

import (
	"slices"
	"time"
)

// result collects the figures of one run. All but the first counts are limited to
// the window of the fault.
type result struct {
	// Counts over the whole run.
	arrived  int // requests that callers sent, without their retries
	requests int // requests that routers received, with the callers' retries
	sent     int // attempts sent to runners
	shed     int // requests refused by routers, each time counted
	gaveUp   int // requests that their callers gave up
	resumed  int // attempts lost with their runner
	done     int // requests answered

	blocks, hits   int             // blocks of admitted requests, and those found in a prefix cache
	firstTokens    []time.Duration // times from arrival to first token
	maxOverMean    []float64       // samples of the maximum load of a runner relative to the mean
	affectedPeak   float64         // maximum load of a runner affected by the fault, relative to the mean of the others
	toAffected     int             // attempts accepted by affected runners
	dispatched     int             // attempts accepted by runners
	countsAtStart  [2]int          // values of requests and sent at the start of the window
	windowRequests int
	windowSent     int
	windowShed     int
	shedAtStart    int
	windowDone     int
	doneAtStart    int
	windowOpen     bool
	measured       []*request // requests that arrived within the window and received a token
}

func (s *sim) inWindow() bool {
	from, to := s.opts.fault.window()
	return s.clock.now >= from && s.clock.now < to
}

func (r *result) recordPrefill(s *sim, _ *request, blocks, hit int) {
	if s.inWindow() {
		r.blocks += blocks
		r.hits += hit
	}
}

func (r *result) recordFirstToken(s *sim, q *request, took time.Duration) {
	from, to := s.opts.fault.window()
	if q.arrivedAt >= from && q.arrivedAt < to {
		r.firstTokens = append(r.firstTokens, took)
		r.measured = append(r.measured, q)
	}
}

func (r *result) recordDispatch(s *sim, runner *runner) {
	if !s.inWindow() {
		return
	}
	r.dispatched++
	if s.opts.fault.affects(runner) {
		r.toAffected++
	}
}

// sample updates the time-dependent figures; it is called once a second.
func (r *result) sample(s *sim) {
	if !s.inWindow() {
		return
	}
	if !r.windowOpen {
		r.windowOpen = true
		r.countsAtStart = [2]int{r.requests, r.sent}
		r.shedAtStart, r.doneAtStart = r.shed, r.done
	}
	r.windowRequests, r.windowSent = r.requests-r.countsAtStart[0], r.sent-r.countsAtStart[1]
	r.windowShed, r.windowDone = r.shed-r.shedAtStart, r.done-r.doneAtStart
	top, sum, n := 0, 0, 0
	affectedTop, otherSum, others := 0, 0, 0
	for _, runner := range s.runners {
		if !runner.alive {
			continue
		}
		top, sum, n = max(top, runner.load()), sum+runner.load(), n+1
		if s.opts.fault.affects(runner) {
			affectedTop = max(affectedTop, runner.load())
			continue
		}
		otherSum, others = otherSum+runner.load(), others+1
	}
	if sum > 0 {
		r.maxOverMean = append(r.maxOverMean, float64(top)*float64(n)/float64(sum))
	}
	if otherSum > 0 {
		r.affectedPeak = max(r.affectedPeak, float64(affectedTop)*float64(others)/float64(otherSum))
	}
}

// figures are the results of a run.
type figures struct {
	HitRate         float64 `json:"hit_rate"`
	PrefilledTokens float64 `json:"prefilled_tokens"`
	FirstP50        float64 `json:"first_token_p50_ms"`
	FirstP95        float64 `json:"first_token_p95_ms"`
	FirstP99        float64 `json:"first_token_p99_ms"`
	GapP99          float64 `json:"token_gap_p99_ms"`
	MaxOverMean     float64 `json:"load_max_over_mean"`
	AffectedShare   float64 `json:"share_sent_to_affected"`
	AffectedPeak    float64 `json:"affected_peak_over_mean"`
	SentPerRequest  float64 `json:"sent_per_asked"`
	Shed            float64 `json:"shed"`
	Done            float64 `json:"done"`
	GaveUp          float64 `json:"gave_up"`
}

func (r *result) figures() figures {
	slices.Sort(r.firstTokens)
	return figures{
		HitRate:         ratio(r.hits, r.blocks),
		PrefilledTokens: float64((r.blocks - r.hits) * tokensPerBlock),
		FirstP50:        quantile(r.firstTokens, 0.50),
		FirstP95:        quantile(r.firstTokens, 0.95),
		FirstP99:        quantile(r.firstTokens, 0.99),
		GapP99:          quantile(r.gaps(), 0.99),
		MaxOverMean:     mean(r.maxOverMean),
		AffectedShare:   ratio(r.toAffected, r.dispatched),
		AffectedPeak:    r.affectedPeak,
		SentPerRequest:  ratio(r.windowSent, r.windowRequests),
		Shed:            float64(r.windowShed),
		Done:            float64(r.windowDone),
		GaveUp:          float64(r.gaveUp),
	}
}

// gaps returns, for each measured request, the mean time between two tokens.
func (r *result) gaps() []time.Duration {
	var out []time.Duration
	for _, q := range r.measured {
		if q.emitted > 1 {
			out = append(out, (q.lastTokenAt-q.firstTokenAt)/time.Duration(q.emitted-1))
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
