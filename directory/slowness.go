package directory

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// samplesPerServer is the number of samples kept for a server; its prefill time is
	// their median. The median tolerates a prompt that is partly cached, which makes a
	// sample too short, and one that waited for another process's prompt, which makes it
	// too long.
	samplesPerServer = 5
	// sampleTTL is how long a sample counts. A server without samples counts as an
	// average one, so one that has recovered gets prompts again.
	sampleTTL = 30 * time.Second
	// cachedTimeRatio is the fraction of the server's own or the median server's usual
	// time up to which a prompt is taken to have been in the server's cache, unknown to
	// this process. A server that is really that fast counts as an average one.
	cachedTimeRatio = 0.5
	// maxUnsentTimes bounds the samples that wait to be sent to peers: a datagram has no
	// room for more.
	maxUnsentTimes = 160
	// minSampleTokens is the shortest prompt that is a sample of a server's speed; the
	// time of a shorter one is mostly spent on other work.
	minSampleTokens = 1000 // prompt tokens
	// slownessInterval is the shortest time between two comparisons of a service's
	// servers; each takes a pass over all of them.
	slownessInterval = 250 * time.Millisecond
)

// PrefillTime is a sample of a server's speed: the prefill time of one prompt with no
// other prompt ahead of it.
type PrefillTime struct {
	Server   uint32        // hash of its start
	PerToken time.Duration // per prompt token
}

// prefillSamples holds the newest prefill times of one server, measured by any process.
type prefillSamples struct {
	mu         sync.Mutex
	samples    [samplesPerServer]prefillSample
	next       int           // index of the sample to be overwritten next
	cachedTime time.Duration // times per token up to this suggest a cached prompt, by the median server's time
}

type prefillSample struct {
	perToken time.Duration
	at       time.Time
}

// add adds a sample unless its time suggests a cached prompt, and reports whether it did.
func (p *prefillSamples) add(perToken time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if perToken <= max(p.cachedTime, maxCachedTime(p.medianLocked(now))) {
		return false
	}
	p.samples[p.next] = prefillSample{perToken, now}
	p.next = (p.next + 1) % samplesPerServer
	return true
}

// maxCachedTime returns the longest time per prompt token that suggests a cached prompt.
func maxCachedTime(usual time.Duration) time.Duration {
	return time.Duration(cachedTimeRatio * float64(usual))
}

func (p *prefillSamples) setCachedTime(cachedTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cachedTime = cachedTime
}

// median returns the median time per prompt token, 0 without recent samples.
func (p *prefillSamples) median(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.medianLocked(now)
}

func (p *prefillSamples) medianLocked(now time.Time) time.Duration {
	var live []time.Duration
	for _, sample := range p.samples {
		if sample.perToken > 0 && now.Sub(sample.at) < sampleTTL {
			live = append(live, sample.perToken)
		}
	}
	return median(live)
}

// median returns the median of times, the lesser of the two middle ones; 0 without any.
func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// samplesAt returns the samples of the server at an address. They outlive its starts,
// which run on the same machine.
func (d *Directory) samplesAt(address string) *prefillSamples {
	samples := d.samples[address]
	if samples == nil {
		samples = &prefillSamples{}
		d.samples[address] = samples
	}
	return samples
}

// dropOldSamples drops the samples of addresses that have neither a server nor a recent
// sample.
func (d *Directory) dropOldSamples(next *View, now time.Time) {
	if len(d.samples) <= 2*next.Len() {
		return
	}
	known := make(map[string]bool, next.Len())
	for _, s := range next.byID {
		known[s.Address] = true
	}
	for address, samples := range d.samples {
		if !known[address] && samples.median(now) == 0 {
			delete(d.samples, address)
		}
	}
}

// recordPrefill records the prefill time of a prompt with no other prompt ahead of it, and
// has it sent to peers.
func (s *Server) recordPrefill(tokens int64, took time.Duration) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	perToken := took / time.Duration(tokens)
	if s.samples.add(perToken, time.Now()) && s.onSample != nil {
		s.onSample(PrefillTime{Server: s.startHash, PerToken: perToken})
	}
}

func (d *Directory) queueUnsent(t PrefillTime) {
	d.unsentMu.Lock()
	defer d.unsentMu.Unlock()
	if len(d.unsentTimes) < maxUnsentTimes {
		d.unsentTimes = append(d.unsentTimes, t)
	}
}

// TakeUnsentPrefillTimes returns the samples of this process since the last call, at most
// maxUnsentTimes.
func (d *Directory) TakeUnsentPrefillTimes() []PrefillTime {
	d.unsentMu.Lock()
	defer d.unsentMu.Unlock()
	out := d.unsentTimes
	d.unsentTimes = nil
	return out
}

// RecordPeerPrefillTime records a sample of a peer. One of a start that is not known here
// is dropped.
func (d *Directory) RecordPeerPrefillTime(t PrefillTime, now time.Time) {
	s := d.view.Load().byHash[t.Server]
	if s == nil {
		d.droppedReports.Add(1)
		return
	}
	s.samples.add(t.PerToken, now)
}

// compareSpeeds updates the slowness of a service's servers relative to their median.
func (d *Directory) compareSpeeds(service string, list []*Server, now time.Time) {
	if last, ok := d.comparedAt.Load(service); ok && now.Sub(last.(time.Time)) < slownessInterval {
		return
	}
	d.comparedAt.Store(service, now)
	typical := make([]time.Duration, len(list))
	var measured []time.Duration
	for i, s := range list {
		typical[i] = s.samples.median(now)
		if typical[i] > 0 {
			measured = append(measured, typical[i])
		}
	}
	medianTime := median(measured)
	for i, s := range list {
		s.setSlowness(typical[i], medianTime)
		s.perToken.Store(int64(cmp.Or(typical[i], medianTime)))
		s.samples.setCachedTime(maxCachedTime(medianTime))
	}
}

func (s *Server) setSlowness(typical, medianTime time.Duration) {
	slowness := 1.0
	if typical > 0 {
		slowness = float64(typical) / float64(medianTime)
	}
	s.slowness.Store(math.Float64bits(slowness))
}

// prefillTime returns the server's time per prompt token, or else that of the median server
// of its service; 0 without measurements.
func (s *Server) prefillTime() time.Duration { return time.Duration(s.perToken.Load()) }

// Slowness returns the ratio of the server's prefill time to that of the median server of
// its service; 1 for a server without samples.
func (s *Server) Slowness() float64 {
	bits := s.slowness.Load()
	if bits == 0 {
		return 1
	}
	return math.Float64frombits(bits)
}
