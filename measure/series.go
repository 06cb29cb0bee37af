package measure

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicros = int64(10 * time.Minute / time.Microsecond) // longest duration of a histogram; longer ones count as this
	precision = 3                                          // significant decimal digits of a histogram
)

// Quantiles summarizes durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// quantilesOf summarizes durations. Negative ones count as zero.
func quantilesOf(durations []time.Duration) Quantiles {
	h := hdrhistogram.New(1, maxMicros, precision)
	for _, d := range durations {
		_ = h.RecordValue(min(max(d.Microseconds(), 0), maxMicros))
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// Spread is the median, minimum and maximum of a figure over several runs or processes.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return Spread{Median: sorted[len(sorted)/2], Min: sorted[0], Max: sorted[len(sorted)-1]}
}
