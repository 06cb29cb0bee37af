package routebench

import (
	"reflect"
	"slices"
	"time"

	"github.com/pearyard/pearyard/route"
)

const (
	// steadyRate is the default rate of new requests per second and runner.
	steadyRate = 1.0
	// fullRateFactor times the rate is the rate of the cases under full load; at
	// steadyRate that is about the maximum that the runners can serve.
	fullRateFactor = 1.5
)

// variant is a policy with its parameters under one fault.
type variant struct {
	name    string
	options simOptions
}

// Values that effectively disable a mechanism.
const (
	noSlowStart   = time.Nanosecond
	noSlowFactor  = 1e9
	noReportDecay = 1000 * time.Hour
	disabled      = 1e-9 // 0 would select the default
	noBound       = 1e9
)

// Report intervals other than reportInterval.
const (
	frequentReports = 250 * time.Millisecond
	rareReports     = 10 * time.Second
)

// cases returns the variants to measure.
func cases(rate float64) []variant {
	defaults := simOptions{rate: rate, reportEvery: reportInterval, policy: route.PrefixAffinity, learn: true, events: true}
	var out []variant
	add := func(name string, f fault, change func(*simOptions)) {
		o := defaults
		o.fault = f
		if change != nil {
			change(&o)
		}
		out = append(out, variant{name: name, options: o})
	}
	policies := func(f fault, rate float64) {
		for _, name := range route.Names() {
			add(name, f, func(o *simOptions) { o.policy = name; o.rate = rate })
		}
	}
	policies(noFault, rate)
	directories := func(f fault, rate float64) {
		add("directory", f, func(o *simOptions) { o.directory = true; o.rate = rate })
		add("directory; own load alone", f, func(o *simOptions) { o.directory, o.ownLoadOnly = true, true; o.rate = rate })
	}
	directories(noFault, rate)
	tuned := func(name string, change func(*route.Tuning)) {
		add(name, noFault, func(o *simOptions) { change(&o.tuning) })
	}
	add("affinity; no cache events", noFault, func(o *simOptions) { o.events = false })
	add("affinity; nothing learnt", noFault, func(o *simOptions) { o.learn = false; o.events = false })
	tuned("affinity; zone first", func(t *route.Tuning) { t.ZoneFirst = true })
	tuned("affinity; bound only, no credit", func(t *route.Tuning) { t.PrefixCredit = disabled })
	tuned("affinity; credit without bound", func(t *route.Tuning) { t.BoundFactor = noBound; t.BoundCeiling = noBound })
	tuned("affinity; credit 0.02", func(t *route.Tuning) { t.PrefixCredit = 0.02 })
	tuned("affinity; credit 0.1", func(t *route.Tuning) { t.PrefixCredit = 0.1 })
	tuned("affinity; credit without limit", func(t *route.Tuning) { t.PrefixCredit = noBound })
	tuned("affinity; the same, factor only", func(t *route.Tuning) { t.PrefixCredit = noBound; t.BoundCeiling = noBound })
	tuned("affinity; factor 1.2", func(t *route.Tuning) { t.BoundFactor = 1.2 })
	tuned("affinity; factor 2", func(t *route.Tuning) { t.BoundFactor = 2 })
	tuned("affinity; floor 0.5", func(t *route.Tuning) { t.BoundFloor = 0.5 })
	tuned("affinity; ceiling 0.8", func(t *route.Tuning) { t.BoundCeiling = 0.8 })
	tuned("affinity; wait weight 0", func(t *route.Tuning) { t.WaitWeight = disabled })
	tuned("affinity; wait weight 1", func(t *route.Tuning) { t.WaitWeight = 1 })
	tuned("affinity; wait weight 6", func(t *route.Tuning) { t.WaitWeight = 6 })
	tuned("affinity; report age ignored", func(t *route.Tuning) { t.ReportTau = noReportDecay })
	add("least load; wait weight 0", noFault, func(o *simOptions) { o.policy = route.LeastLoad; o.tuning.WaitWeight = disabled })
	rare := func(o *simOptions) { o.reportEvery = rareReports }
	add("affinity; reports each 250 ms", noFault, func(o *simOptions) { o.reportEvery = frequentReports })
	add("affinity; reports each 10 s", noFault, rare)
	add("the same, age ignored", noFault, func(o *simOptions) { rare(o); o.tuning.ReportTau = noReportDecay })
	add("least load; reports each 10 s", noFault, func(o *simOptions) { rare(o); o.policy = route.LeastLoad })
	add("the same, age ignored", noFault, func(o *simOptions) {
		rare(o)
		o.policy = route.LeastLoad
		o.tuning.ReportTau = noReportDecay
	})

	policies(oneSlow, rate)
	directories(oneSlow, rate)
	add("affinity; slow not avoided", oneSlow, func(o *simOptions) { o.tuning.SlowFactor = noSlowFactor })
	add("affinity; slow factor 2", oneSlow, func(o *simOptions) { o.tuning.SlowFactor = 2 })

	policies(oneReplaced, rate)
	add("affinity; no slow start", oneReplaced, func(o *simOptions) { o.tuning.SlowStart = noSlowStart })
	add("least load; no slow start", oneReplaced, func(o *simOptions) {
		o.policy = route.LeastLoad
		o.tuning.SlowStart = noSlowStart
	})

	policies(zoneLost, rate)
	policies(zoneReturned, rate)
	directories(zoneReturned, rate)
	add("affinity; no slow start", zoneReturned, func(o *simOptions) { o.tuning.SlowStart = noSlowStart })
	add("affinity; slow start 20 s", zoneReturned, func(o *simOptions) { o.tuning.SlowStart = 20 * time.Second })
	add("affinity; slow start 10 s", zoneReturned, func(o *simOptions) { o.tuning.SlowStart = 10 * time.Second })

	policies(tenthDies, rate*fullRateFactor)
	directories(tenthDies, rate*fullRateFactor)
	add("affinity; retries without budget", tenthDies, func(o *simOptions) { o.noRetryBudget = true; o.rate = rate * fullRateFactor })
	add("two; retries without budget", tenthDies, func(o *simOptions) {
		o.noRetryBudget = true
		o.policy = route.PowerOfTwo
		o.rate = rate * fullRateFactor
	})
	return out
}

// summarise returns the minimum, median and maximum of each figure over the runs.
func summarise(all []figures) (least, median, most figures) {
	fields := reflect.TypeFor[figures]().NumField()
	for i := range fields {
		values := make([]float64, 0, len(all))
		for _, f := range all {
			values = append(values, reflect.ValueOf(f).Field(i).Float())
		}
		slices.Sort(values)
		reflect.ValueOf(&least).Elem().Field(i).SetFloat(values[0])
		reflect.ValueOf(&median).Elem().Field(i).SetFloat(values[len(values)/2])
		reflect.ValueOf(&most).Elem().Field(i).SetFloat(values[len(values)-1])
	}
	return least, median, most
}
