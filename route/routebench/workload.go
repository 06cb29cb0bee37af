package routebench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Model of the callers.
const (
	templates       = 40               // per organisation
	preambleBlocks  = 4                // shared by all of an organisation's prompts
	templateBlocks  = 16               // shared by all prompts of a template
	tailBlocks      = 8                // mean length of the unique tail
	documentBlocks  = 60               // length of a long unique tail
	documentShare   = 0.1              // share of requests with such a tail
	followUpShare   = 0.25             // share of answers that the caller continues
	followUpDelay   = 10 * time.Second // mean time until then
	shortOutput     = 120              // median length of a short output, in tokens
	shortOutputDev  = 0.6              // standard deviation of the logarithm of that length
	longOutput      = 2500             // length of a long output, in tokens
	longShare       = 0.04             // share of requests with a long output
	organisationExp = 1.2              // Zipf exponent of the requests per organisation
	templateExp     = 1.0              // Zipf exponent of the requests per template
)

// request is one caller's request in progress.
type request struct {
	router        *router
	blocks        []uint64      // of the prompt
	output        int           // tokens to emit
	arrivedAt     time.Duration // when the caller first sent it
	callerRetries int           // how often the caller was refused and has returned
	retries       int           // attempts after the first one since the caller last arrived
	emitted       int           // tokens emitted so far, over all attempts
	toPrefill     int           // blocks that the runner still has to prefill
	firstTokenAt  time.Duration // when the first token arrived
	lastTokenAt   time.Duration // when the last token arrived
	gotFirstToken bool          // the first token of the current attempt has arrived
	attempt       *attempt
}

// allBlocks returns the blocks of the prompt and of the tokens emitted before a
// loss.
func (q *request) allBlocks() []uint64 {
	out := q.blocks
	for i := range q.emitted / tokensPerBlock {
		out = append(out[:len(out):len(out)], chain(out[len(out)-1], uint64(i)))
	}
	return out
}

// workload generates random requests.
type workload struct {
	rand            *rand.Rand
	organisationCDF []float64
	templateCDF     []float64
	lastTail        uint64
}

func newWorkload(r *rand.Rand, organisations int) *workload {
	return &workload{rand: r, organisationCDF: zipf(organisations, organisationExp), templateCDF: zipf(templates, templateExp)}
}

// zipf returns the cumulative Zipf distribution over n ranks.
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

// draw returns a random rank, from 0, of a cumulative distribution.
func (w *workload) draw(cdf []float64) uint64 {
	x := w.rand.Float64()
	for i, p := range cdf {
		if x <= p {
			return uint64(i)
		}
	}
	return uint64(len(cdf) - 1)
}

func (w *workload) newRequest() *request {
	org := w.draw(w.organisationCDF)
	blocks := extend(nil, chain(0, org+1), preambleBlocks)
	blocks = extend(blocks, w.draw(w.templateCDF)+1, templateBlocks)
	return &request{blocks: w.tail(blocks), output: w.length()}
}

// followUp returns a request that continues an answered one.
func (w *workload) followUp(q *request) *request {
	return &request{blocks: w.tail(q.allBlocks()), output: w.length()}
}

// tail appends a unique tail to blocks.
func (w *workload) tail(blocks []uint64) []uint64 {
	n := 1 + int(w.rand.ExpFloat64()*tailBlocks)
	if w.rand.Float64() < documentShare {
		n = documentBlocks
	}
	w.lastTail++
	return extend(blocks, w.lastTail<<20, n)
}

// length draws the number of tokens of an output: log-normal, or longOutput.
func (w *workload) length() int {
	if w.rand.Float64() < longShare {
		return longOutput
	}
	return 1 + int(shortOutput*math.Exp(shortOutputDev*w.rand.NormFloat64()))
}

// extend appends n keys that depend on all previous keys and on seed.
func extend(blocks []uint64, seed uint64, n int) []uint64 {
	out := blocks[:len(blocks):len(blocks)]
	last := uint64(1)
	if len(out) > 0 {
		last = out[len(out)-1]
	}
	for i := range n {
		last = chain(last, seed+uint64(i)<<8)
		out = append(out, last)
	}
	return out
}

// chain computes one step of a cumulative hash.
func chain(last, next uint64) uint64 {
	h := last*0x9e3779b97f4a7c15 ^ next*0xc2b2ae3d27d4eb4f
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}
