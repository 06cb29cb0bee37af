package explain

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Summary is what the lines tell of a period.
type Summary struct {
	From       time.Time            `json:"from"`
	To         time.Time            `json:"to"`
	Lines      int                  `json:"lines"`
	Dropped    int                  `json:"dropped"` // by processes whose output wasn't read
	Bad        []Bad                `json:"bad,omitempty"`
	Unfinished int                  `json:"unfinished"` // requests on their way at the last line
	Objectives map[string]Objective `json:"objectives"`
	Kinds      []KindCounts         `json:"kinds"`
	Causes     []CauseCount         `json:"causes"`
	Spans      []Span               `json:"spans"` // all, by time
	Worst      []int                `json:"worst"` // numbers of the worst spans, worst first
}

// Counts are of requests by what became of them. Each sending of a caller is one:
// one that comes back after a refusal is a new request.
type Counts struct {
	Sent    int `json:"sent"`
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Left    int `json:"left"`   // of the caller's own accord; not owed
	Turned  int `json:"turned"` // away as wrong in themselves; not among sent
	// TurnedBlind of them by a process that did not hear from the store: they may
	// have been right.
	TurnedBlind int `json:"turned_blind"`
}

// Share returns how many of the requests that were owed were in time; 1 of none.
func (c Counts) Share() float64 {
	owed := c.Sent - c.Left
	if owed <= 0 {
		return 1
	}
	return float64(c.InTime) / float64(owed)
}

// KindCounts are the counts of a kind of request.
type KindCounts struct {
	Kind string `json:"kind"`
	Counts
}

// CauseCount says how many requests of a kind were not in time for a cause.
type CauseCount struct {
	Cause    Cause         `json:"cause"`
	Kind     string        `json:"kind"`
	Late     int           `json:"late"`
	Refused  int           `json:"refused"`
	Failed   int           `json:"failed"`
	Waited   time.Duration `json:"waited"` // the mean of all that were not in time
	Examples []Example     `json:"examples,omitempty"`
}

func (c *CauseCount) total() int { return c.Late + c.Refused + c.Failed }

// Span is a part of the period.
type Span struct {
	From   time.Time    `json:"from"`
	Kinds  []KindCounts `json:"kinds"`
	Causes []CauseCount `json:"causes"`
	// Share is the mean over the kinds of their shares in time: a few streams
	// weigh as much as many plain calls.
	Share float64 `json:"share"`
}

// View says how a summary is cut.
type View struct {
	From, To time.Time     // by arrival; zero: all
	Span     time.Duration // whole seconds
	Worst    int           // how many of the worst spans are named
}

// DefaultSpan is short enough to tell the loss of a zone from what follows it.
const DefaultSpan = 2 * time.Second

// noKind is of requests whose route no last line has named.
const noKind = "unknown"

func (p *Period) kindOf(route int32) string {
	if kind, ok := p.kinds[route]; ok {
		return kind
	}
	return noKind
}

// Summary tells what was read. It may be asked for several views.
func (p *Period) Summary(v View) Summary {
	v.Span = max(time.Second, v.Span.Truncate(time.Second))
	s := Summary{Lines: p.Lines, Dropped: p.Dropped, Bad: p.badLines(), Objectives: maps.Clone(p.objectives)}
	maps.Copy(s.Objectives, p.given)
	for _, t := range p.open {
		if t.running {
			s.Unfinished++
		}
	}
	b := p.newBuilder(v)
	for key, t := range p.seconds {
		b.addCounts(key, t)
	}
	for key, t := range p.causes {
		b.addCause(key, t)
	}
	b.finish(&s)
	return s
}

func (p *Period) badLines() []Bad {
	var out []Bad
	for _, b := range p.bad {
		out = append(out, *b)
	}
	slices.SortFunc(out, func(a, b Bad) int { return cmp.Compare(a.Reason, b.Reason) })
	return out
}

// builder puts a summary together.
type builder struct {
	period     *Period
	view       View
	from, to   int64 // seconds, the last one left out
	first      int64 // of the first span
	whole      part
	spans      map[int64]*part           // by number
	waves      map[string]map[int64]bool // by kind: seconds
	zoneLosses map[string]map[int64]bool // by zone: seconds
}

// part is a time's counts by kind and cause.
type part struct {
	kinds  map[string]*KindCounts
	causes map[causeKey]*CauseCount
}

type causeKey struct {
	cause Cause
	kind  string
}

func newPart() part {
	return part{map[string]*KindCounts{}, map[causeKey]*CauseCount{}}
}

func (p *Period) newBuilder(v View) *builder {
	b := &builder{period: p, view: v, whole: newPart(), spans: map[int64]*part{}}
	b.from, b.to = p.bounds()
	if !v.From.IsZero() {
		b.from = max(b.from, v.From.Unix())
	}
	if !v.To.IsZero() {
		b.to = min(b.to, v.To.Unix())
	}
	b.first = b.from
	b.waves = p.waves()
	b.zoneLosses = p.lossesOfZones()
	return b
}

// bounds returns the first second of the period and the one after its last.
func (p *Period) bounds() (from, to int64) {
	for key := range p.seconds {
		if from == 0 || key.second < from {
			from = key.second
		}
		to = max(to, key.second+1)
	}
	return from, to
}

// parts returns those that a second belongs to: the whole and its span.
func (b *builder) parts(second int64) []*part {
	if second < b.from || second >= b.to {
		return nil
	}
	number := (second - b.first) / int64(b.view.Span/time.Second)
	span := b.spans[number]
	if span == nil {
		created := newPart()
		span = &created
		b.spans[number] = span
	}
	return []*part{&b.whole, span}
}

func (b *builder) addCounts(key slot, t *tally) {
	kind := b.period.kindOf(key.route)
	for _, part := range b.parts(key.second) {
		part.addCounts(kind, t)
	}
}

func (p *part) addCounts(kind string, t *tally) {
	k := p.kinds[kind]
	if k == nil {
		k = &KindCounts{Kind: kind}
		p.kinds[kind] = k
	}
	k.InTime += int(t.counts[InTime])
	k.Late += int(t.counts[Late])
	k.Refused += int(t.counts[Refused])
	k.Failed += int(t.counts[Failed])
	k.Left += int(t.counts[Left])
	k.Turned += int(t.turned)
	k.TurnedBlind += int(t.turnedBlind)
	for _, n := range t.counts {
		k.Sent += int(n)
	}
}

func (b *builder) addCause(key causeSlot, t *causeTally) {
	kind := b.period.kindOf(key.route)
	cause := b.resolve(key, kind)
	for _, part := range b.parts(key.second) {
		part.addCause(causeKey{cause, kind}, key.outcome, t)
	}
}

func (p *part) addCause(key causeKey, outcome Outcome, t *causeTally) {
	c := p.causes[key]
	if c == nil {
		c = &CauseCount{Cause: key.cause, Kind: key.kind}
		p.causes[key] = c
	}
	before := c.total()
	switch outcome {
	case Late:
		c.Late += int(t.count)
	case Refused:
		c.Refused += int(t.count)
	default:
		c.Failed += int(t.count)
	}
	c.Waited = (c.Waited*time.Duration(before) + t.waited) / time.Duration(c.total())
	for _, e := range t.examples {
		e.Cause = key.cause
		c.Examples = append(c.Examples, e)
	}
	slices.SortFunc(c.Examples, func(a, b Example) int {
		return cmp.Or(cmp.Compare(b.longest(), a.longest()), cmp.Compare(a.Request, b.Request))
	})
	c.Examples = c.Examples[:min(len(c.Examples), maxExamples)]
}

func (e Example) longest() time.Duration { return max(e.Took, e.First, e.Pause) }

func (b *builder) finish(s *Summary) {
	s.From, s.To = time.Unix(b.from, 0).UTC(), time.Unix(b.to, 0).UTC()
	s.Kinds, s.Causes = b.whole.sorted()
	for _, number := range slices.Sorted(maps.Keys(b.spans)) {
		span := Span{From: time.Unix(b.first, 0).Add(time.Duration(number) * b.view.Span).UTC()}
		span.Kinds, span.Causes = b.spans[number].sorted()
		span.Share = meanShare(span.Kinds)
		s.Spans = append(s.Spans, span)
	}
	for i := range s.Spans {
		s.Worst = append(s.Worst, i)
	}
	slices.SortStableFunc(s.Worst, func(i, j int) int { return cmp.Compare(s.Spans[i].Share, s.Spans[j].Share) })
	s.Worst = s.Worst[:min(len(s.Worst), b.view.Worst)]
}

func (p *part) sorted() ([]KindCounts, []CauseCount) {
	var kinds []KindCounts
	for _, kind := range slices.Sorted(maps.Keys(p.kinds)) {
		kinds = append(kinds, *p.kinds[kind])
	}
	var causes []CauseCount
	for _, c := range p.causes {
		causes = append(causes, *c)
	}
	slices.SortFunc(causes, func(a, b CauseCount) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Kind, b.Kind))
	})
	return kinds, causes
}

func meanShare(kinds []KindCounts) float64 {
	sum, count := 0.0, 0
	for _, k := range kinds {
		if k.Sent > k.Left {
			sum += k.Share()
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count)
}
