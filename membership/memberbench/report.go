package memberbench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

func (t *Times) add(d time.Duration) {
	t.Samples = append(t.Samples, d.Seconds())
	sorted := slices.Sorted(slices.Values(t.Samples))
	t.Median = sorted[len(sorted)/2]
	t.Worst = sorted[len(sorted)-1]
}

func (t Times) String() string { return fmt.Sprintf("%.2f/%.2f", t.Median, t.Worst) }

// WriteJSON writes the result of one site as a line of JSON.
func WriteJSON(w io.Writer, r Result) error { return json.NewEncoder(w).Encode(r) }

// WriteHeader writes the header of the table whose rows WriteText writes.
func WriteHeader(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%7s %7s %8s %8s %8s %7s %9s %12s %12s %12s %12s\n", "members", "start s",
		"sent B/s", "wire B/s", "cpu %", "conn/s", "start KB", "no work s", "dead s", "leaving s", "revision s")
	return err
}

// WriteText writes the result of one site as a row; times are median/worst.
func WriteText(w io.Writer, r Result) error {
	_, err := fmt.Fprintf(w, "%7d %7.1f %8.0f %8.0f %8.3f %7.2f %9.1f %12s %12s %12s %12s\n", r.Members, r.StartSeconds,
		r.BytesPerSecond, r.WireBytesPerSecond, r.CPUPercent, r.ConnectionsPerSecond, r.StartBytes/1000,
		r.NoNewWork, r.Death, r.Leaving, r.Revision)
	return err
}
