package routebench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Model of the callers.
const (
	templates       = 40 // of each organisation
	preambleBlocks  = 4  // shared by all of an organisation's prompts
	templateBlocks  = 16
	tailBlocks      = 8    // mean length of the unique rest
	documentBlocks  = 60   // a long unique rest
	documentShare   = 0.1  // of the requests
	followShare     = 0.25 // of the answers that the caller goes on from
	followAfter     = 10 * time.Second
	shortOutput     = 120 // tokens, median
	longOutput      = 2500
	longShare       = 0.04
	organisationExp = 1.2 // Zipf exponents
	templateExp     = 1.0
)

// request is one caller's request on its way.
type request struct {
	router    *router
	blocks    []uint64
	output    int // tokens to emit
	asked     time.Duration
	returns   int // times that the caller was shed and came back
	retries   int // tries after the first since the caller came
	emitted   int
	toPrefill int
	firstAt   time.Duration // first and last token
	lastAt    time.Duration
	first     bool // the first token has been seen
	sentTo    *sending
}

// allBlocks are the blocks of the prompt and of what was emitted before a loss.
func (q *request) allBlocks() []uint64 {
	out := q.blocks
	for i := range q.emitted / tokensPerBlok {
		out = append(out[:len(out):len(out)], chain(out[len(out)-1], uint64(i)))
	}
	return out
}

// workload draws requests.
type workload struct {
	rand     *rand.Rand
	orgs     []float64
	template []float64
	unique   uint64
}

func newWorkload(r *rand.Rand, organisations int) *workload {
	return &workload{rand: r, orgs: zipf(organisations, organisationExp), template: zipf(templates, templateExp)}
}

// zipf returns the cumulative distribution of n ranks.
func zipf(n int, exponent float64) []float64 {
	out := make([]float64, n)
	sum := 0.0
	for i := range out {
		sum += math.Pow(float64(i+1), -exponent)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

func (w *workload) draw(cdf []float64) uint64 {
	x := w.rand.Float64()
	for i, p := range cdf {
		if x <= p {
			return uint64(i)
		}
	}
	return uint64(len(cdf) - 1)
}

func (w *workload) fresh() *request {
	org := w.draw(w.orgs)
	blocks := extend(nil, chain(0, org+1), preambleBlocks)
	blocks = extend(blocks, w.draw(w.template)+1, templateBlocks)
	return &request{blocks: w.tail(blocks), output: w.length()}
}

// follow goes on from an answered request.
func (w *workload) follow(q *request) *request {
	return &request{blocks: w.tail(q.allBlocks()), output: w.length()}
}

func (w *workload) tail(blocks []uint64) []uint64 {
	n := 1 + int(w.rand.ExpFloat64()*tailBlocks)
	if w.rand.Float64() < documentShare {
		n = documentBlocks
	}
	w.unique++
	return extend(blocks, w.unique<<20, n)
}

func (w *workload) length() int {
	if w.rand.Float64() < longShare {
		return longOutput
	}
	return 1 + int(shortOutput*math.Exp(0.6*w.rand.NormFloat64()))
}

// extend appends n keys that depend on all keys before and on what.
func extend(blocks []uint64, what uint64, n int) []uint64 {
	out := blocks[:len(blocks):len(blocks)]
	last := uint64(1)
	if len(out) > 0 {
		last = out[len(out)-1]
	}
	for i := range n {
		last = chain(last, what+uint64(i)<<8)
		out = append(out, last)
	}
	return out
}

// chain is one step of a cumulative hash.
func chain(last, next uint64) uint64 {
	h := last*0x9e3779b97f4a7c15 ^ next*0xc2b2ae3d27d4eb4f
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}
