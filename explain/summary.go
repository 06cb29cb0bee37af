package explain

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Summary is the result of reading the log lines of a period.
type Summary struct {
	From       time.Time            `json:"from"`
	To         time.Time            `json:"to"`
	Lines      int                  `json:"lines"`
	Dropped    int                  `json:"dropped"` // lines that processes dropped because their output wasn't read
	Unusable   []UnusableLines      `json:"bad,omitempty"`
	Unfinished int                  `json:"unfinished"` // streams listed as running that have no end yet
	Objectives map[string]Objective `json:"objectives"`
	Kinds      []KindCounts         `json:"kinds"`
	Causes     []CauseCount         `json:"causes"`
	Spans      []Span               `json:"spans"` // all, by time
	Worst      []int                `json:"worst"` // indices of the worst spans, worst first
}

// Counts are numbers of requests by outcome. A caller's retry after a refusal counts
// as a new request.
type Counts struct {
	Sent     int `json:"sent"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Left     int `json:"left"`   // the caller left of its own accord; not in Share
	Rejected int `json:"turned"` // invalid; not included in Sent
	// RejectedOutdated of them were rejected by a process that could not reach the
	// store: they may have been valid.
	RejectedOutdated int `json:"turned_blind"`
}

// Share returns the share in time of the requests whose caller did not leave; 1 if
// there are none.
func (c Counts) Share() float64 {
	counted := c.Sent - c.Left
	if counted <= 0 {
		return 1
	}
	return float64(c.InTime) / float64(counted)
}

// KindCounts are the counts of one kind of request.
type KindCounts struct {
	Kind string `json:"kind"`
	Counts
}

// CauseCount is the number of requests of a kind that a cause kept from being in
// time.
type CauseCount struct {
	Cause    Cause         `json:"cause"`
	Kind     string        `json:"kind"`
	Late     int           `json:"late"`
	Refused  int           `json:"refused"`
	Failed   int           `json:"failed"`
	Waited   time.Duration `json:"waited"` // mean over these requests
	Examples []Example     `json:"examples,omitempty"`
}

func (c *CauseCount) total() int { return c.Late + c.Refused + c.Failed }

// Span is one of the equal intervals that the period is divided into.
type Span struct {
	From   time.Time    `json:"from"`
	Kinds  []KindCounts `json:"kinds"`
	Causes []CauseCount `json:"causes"`
	// Share is the mean of the kinds' shares in time, so that a few streams weigh as
	// much as many plain calls.
	Share float64 `json:"share"`
}

// View selects the period of a summary and how it is divided.
type View struct {
	From, To time.Time     // by arrival; zero: all
	Span     time.Duration // whole seconds
	Worst    int           // number of worst spans listed
}

// DefaultSpan is short enough to separate the loss of a zone from its aftermath.
const DefaultSpan = 2 * time.Second

// unknownKind is the kind of requests whose route appears in no end line.
const unknownKind = "unknown"

func (p *Period) kindOf(route int32) string {
	if kind, ok := p.kinds[route]; ok {
		return kind
	}
	return unknownKind
}

// Summary summarizes the lines read so far. It may be called for several views.
func (p *Period) Summary(v View) Summary {
	v.Span = max(time.Second, v.Span.Truncate(time.Second))
	s := Summary{Lines: p.Lines, Dropped: p.Dropped, Unusable: p.unusableLines(), Objectives: maps.Clone(p.loggedObjectives)}
	maps.Copy(s.Objectives, p.givenObjectives)
	for _, open := range p.open {
		if open.running {
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

func (p *Period) unusableLines() []UnusableLines {
	var out []UnusableLines
	for _, lines := range p.unusable {
		out = append(out, *lines)
	}
	slices.SortFunc(out, func(a, b UnusableLines) int { return cmp.Compare(a.Reason, b.Reason) })
	return out
}

// builder builds a summary.
type builder struct {
	period          *Period
	view            View
	from, to        int64 // seconds; to is exclusive
	first           int64 // second at which the first span begins
	total           aggregate
	spans           map[int64]*aggregate      // by index
	surges          map[string]map[int64]bool // by kind: seconds
	zoneLossSeconds map[string]map[int64]bool // by zone: seconds
}

// aggregate holds the counts of an interval by kind and cause.
type aggregate struct {
	kinds  map[string]*KindCounts
	causes map[causeKey]*CauseCount
}

type causeKey struct {
	cause Cause
	kind  string
}

func newAggregate() aggregate {
	return aggregate{map[string]*KindCounts{}, map[causeKey]*CauseCount{}}
}

func (p *Period) newBuilder(v View) *builder {
	b := &builder{period: p, view: v, total: newAggregate(), spans: map[int64]*aggregate{}}
	b.from, b.to = p.bounds()
	if !v.From.IsZero() {
		b.from = max(b.from, v.From.Unix())
	}
	if !v.To.IsZero() {
		b.to = min(b.to, v.To.Unix())
	}
	b.first = b.from
	b.surges = p.surges()
	b.zoneLossSeconds = p.zoneLossSeconds()
	return b
}

// bounds returns the first second of the period and the second after its last.
func (p *Period) bounds() (from, to int64) {
	for key := range p.seconds {
		if from == 0 || key.second < from {
			from = key.second
		}
		to = max(to, key.second+1)
	}
	return from, to
}

// aggregates returns the ones that a second belongs to: the total and its span.
func (b *builder) aggregates(second int64) []*aggregate {
	if second < b.from || second >= b.to {
		return nil
	}
	number := (second - b.first) / int64(b.view.Span/time.Second)
	span := b.spans[number]
	if span == nil {
		created := newAggregate()
		span = &created
		b.spans[number] = span
	}
	return []*aggregate{&b.total, span}
}

func (b *builder) addCounts(key bucket, t *tally) {
	kind := b.period.kindOf(key.route)
	for _, target := range b.aggregates(key.second) {
		target.addCounts(kind, t)
	}
}

func (a *aggregate) addCounts(kind string, t *tally) {
	k := a.kinds[kind]
	if k == nil {
		k = &KindCounts{Kind: kind}
		a.kinds[kind] = k
	}
	k.InTime += int(t.counts[InTime])
	k.Late += int(t.counts[Late])
	k.Refused += int(t.counts[Refused])
	k.Failed += int(t.counts[Failed])
	k.Left += int(t.counts[Left])
	k.Rejected += int(t.rejected)
	k.RejectedOutdated += int(t.rejectedOutdated)
	for _, n := range t.counts {
		k.Sent += int(n)
	}
}

func (b *builder) addCause(key causeBucket, t *causeTally) {
	kind := b.period.kindOf(key.route)
	cause := b.resolve(key, kind)
	for _, target := range b.aggregates(key.second) {
		target.addCause(causeKey{cause, kind}, key.outcome, t)
	}
}

func (a *aggregate) addCause(key causeKey, outcome Outcome, t *causeTally) {
	c := a.causes[key]
	if c == nil {
		c = &CauseCount{Cause: key.cause, Kind: key.kind}
		a.causes[key] = c
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
	s.Kinds, s.Causes = b.total.sorted()
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

func (a *aggregate) sorted() ([]KindCounts, []CauseCount) {
	var kinds []KindCounts
	for _, kind := range slices.Sorted(maps.Keys(a.kinds)) {
		kinds = append(kinds, *a.kinds[kind])
	}
	var causes []CauseCount
	for _, c := range a.causes {
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
