package limitbench

import (
	"fmt"
	"io"
	"slices"
)

// Result is the result of one run of the benchmark.
type Result struct {
	Seeds    int           `json:"seeds"`
	Fairness []FairRun     `json:"fairness"`
	Accuracy []AccuracyRun `json:"accuracy"`
}

// Spread is the median, minimum and maximum of a value over several seeds.
type Spread struct{ Median, Least, Most float64 }

// String formats the spread as "median [min..max]".
func (s Spread) String() string { return fmt.Sprintf("%.2f [%.2f..%.2f]", s.Median, s.Least, s.Most) }

func spread(values []float64) Spread {
	slices.Sort(values)
	return Spread{values[len(values)/2], values[0], values[len(values)-1]}
}

// largeTimes is the load of the large organisation, as a multiple of its share.
const largeTimes = 10

var (
	modes        = []Mode{ModeFair, ModeLong, ModeFIFO, ModeNoClass}
	patterns     = []Pattern{PatternEven, PatternSkewed, PatternMoving, PatternWaking}
	routerCounts = []int{2, 4, 40}
)

// Run runs all simulations with seeds from 1 to seeds.
func Run(seeds int) Result {
	out := Result{Seeds: seeds}
	for _, mode := range modes {
		for seed := range seeds {
			out.Fairness = append(out.Fairness,
				Fairness(mode, quietLoad, uint64(seed+1)), Fairness(mode, largeTimes, uint64(seed+1)))
		}
	}
	for _, routers := range routerCounts {
		for _, pattern := range patterns {
			for _, borrow := range []bool{false, true} {
				for seed := range seeds {
					out.Accuracy = append(out.Accuracy, Accuracy(routers, pattern, borrow, uint64(seed+1)))
				}
			}
		}
	}
	return out
}

// Text writes the result as tables.
func (r Result) Text(w io.Writer) {
	fmt.Fprintf(w, "Small organisations beside one that sends %dx its share: median [least..most] of %d seeds\n", largeTimes, r.Seeds)
	fmt.Fprintln(w, "mode        class  p95/quiet p95       wait p95 s          shed %               large shed %         slots used")
	for _, mode := range modes {
		for class, k := range kinds {
			r.fairLine(w, mode, class, k.class.String())
		}
	}
	fmt.Fprintln(w, "\nAn organisation that sends 1.5x its limit through several routers: parts of the limit")
	fmt.Fprintln(w, "routers pattern borrow  rate mean           worst second        worst ten s         places mean         places most         % time over")
	for _, routers := range routerCounts {
		for _, pattern := range patterns {
			for _, borrow := range []bool{false, true} {
				r.accuracyLine(w, routers, pattern, borrow)
			}
		}
	}
}

func (r Result) fairLine(w io.Writer, mode Mode, class int, name string) {
	quiet := map[uint64]float64{}
	for _, run := range r.Fairness {
		if run.Mode == mode && run.Large < largeTimes {
			quiet[run.Seed] = run.Small[class].P95
		}
	}
	var ratio, wait, shed, large, used []float64
	for _, run := range r.Fairness {
		if run.Mode != mode || run.Large < largeTimes {
			continue
		}
		small := run.Small[class]
		ratio = append(ratio, small.P95/quiet[run.Seed])
		wait = append(wait, small.WaitP95/1000)
		shed = append(shed, 100*float64(small.Shed)/float64(small.Sent))
		large = append(large, 100*float64(run.LargeShed)/float64(run.LargeSent))
		used = append(used, run.Used)
	}
	fmt.Fprintf(w, "%-11s %-6s %-19s %-19s %-20s %-20s %s\n",
		mode, name, spread(ratio), spread(wait), spread(shed), spread(large), spread(used))
}

func (r Result) accuracyLine(w io.Writer, routers int, pattern Pattern, borrow bool) {
	columns := make([][]float64, 6)
	for _, run := range r.Accuracy {
		if run.Routers != routers || run.Pattern != pattern || run.Borrow != borrow {
			continue
		}
		for i, v := range []float64{run.Rate, run.RateMax1s, run.RateMax10s, run.Concurrency, run.ConcurrencyMax, run.PercentOver} {
			columns[i] = append(columns[i], v)
		}
	}
	fmt.Fprintf(w, "%-7d %-7s %-7t", routers, pattern, borrow)
	for _, column := range columns {
		fmt.Fprintf(w, " %-19s", spread(column))
	}
	fmt.Fprintln(w)
}
