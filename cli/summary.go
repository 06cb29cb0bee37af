package cli

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/explain"
)

const (
	flagSummary   = "summary"
	flagSpan      = "span"
	flagWorst     = "worst"
	flagFrom      = "from"
	flagTo        = "to"
	flagObjective = "objective"
)

// defaultWorst is how many spans are shown one by one.
const defaultWorst = 3

func summaryFlags() []urfave.Flag {
	return []urfave.Flag{
		&urfave.BoolFlag{Name: flagSummary, Usage: "show from log files which requests of a period were in time, and why the others were not"},
		&urfave.DurationFlag{Name: flagSpan, Value: explain.DefaultSpan, Usage: "length of the spans that the period is divided into, whole seconds"},
		&urfave.IntFlag{Name: flagWorst, Value: defaultWorst, Usage: "how many of the worst spans are shown"},
		&urfave.TimestampFlag{Name: flagFrom, Layout: time.RFC3339, Usage: "first second of the period, by arrival of the requests"},
		&urfave.TimestampFlag{Name: flagTo, Layout: time.RFC3339, Usage: "end of the period"},
		&urfave.StringSliceFlag{Name: flagObjective, Usage: "`KIND:ANSWER/GAP` such as stream:4.5s/700ms, overrides the logged objectives; repeatable"},
	}
}

// summarize prints the outcomes of a period's requests from log files.
func summarize(c *urfave.Context) error {
	if c.NArg() > 0 {
		return usageErrorf("--%s does not take a request ID", flagSummary)
	}
	if len(c.StringSlice(flagLogs)) == 0 {
		return usageErrorf("--%s needs --%s", flagSummary, flagLogs)
	}
	view, err := viewOf(c)
	if err != nil {
		return err
	}
	period, err := readPeriod(c)
	if err != nil {
		return err
	}
	summary := period.Summary(view)
	if c.String(flagOutput) == outputJSON {
		return printJSON(c, summary)
	}
	return printSummary(c, summary)
}

func viewOf(c *urfave.Context) (explain.View, error) {
	view := explain.View{Span: c.Duration(flagSpan), Worst: c.Int(flagWorst)}
	if view.Span < time.Second || view.Worst < 0 {
		return view, usageErrorf("--%s is at least a second, --%s at least 0", flagSpan, flagWorst)
	}
	if from := c.Timestamp(flagFrom); from != nil {
		view.From = *from
	}
	if to := c.Timestamp(flagTo); to != nil {
		view.To = *to
	}
	return view, nil
}

func readPeriod(c *urfave.Context) (*explain.Period, error) {
	objectives := map[string]explain.Objective{}
	for _, word := range c.StringSlice(flagObjective) {
		kind, objective, err := explain.ParseObjective(word)
		if err != nil {
			return nil, usageErrorf("--%s: %s", flagObjective, err)
		}
		objectives[kind] = objective
	}
	period := explain.NewPeriod(objectives)
	for _, name := range c.StringSlice(flagLogs) {
		if err := readInto(c, period, name); err != nil {
			return nil, err
		}
	}
	return period, nil
}

func readInto(c *urfave.Context, period *explain.Period, name string) error {
	if name == logsStdin {
		return period.Read(c.App.Reader, name)
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	defer file.Close()
	return period.Read(file, name)
}

func printSummary(c *urfave.Context, s explain.Summary) error {
	_, err := fmt.Fprintf(c.App.Writer, "%s to %s, %d lines", s.From.Format(time.RFC3339), s.To.Format(time.RFC3339), s.Lines)
	if err != nil {
		return err
	}
	if err := printOmissions(c, s); err != nil {
		return err
	}
	if err := printPart(c, s.Kinds, s.Causes); err != nil {
		return err
	}
	for _, number := range s.Worst {
		span := s.Spans[number]
		if _, err := fmt.Fprintf(c.App.Writer, "\nfrom %s: %.2f in time, mean of the kinds\n", span.From.Format(time.RFC3339), span.Share); err != nil {
			return err
		}
		if err := printPart(c, span.Kinds, span.Causes); err != nil {
			return err
		}
	}
	return nil
}

// printOmissions prints what is missing from the summary.
func printOmissions(c *urfave.Context, s explain.Summary) error {
	w := c.App.Writer
	if s.Dropped > 0 {
		fmt.Fprintf(w, "; %d more were dropped by processes", s.Dropped)
	}
	if s.Unfinished > 0 {
		fmt.Fprintf(w, "; %d requests have no end yet", s.Unfinished)
	}
	for _, bad := range s.Unusable {
		fmt.Fprintf(w, "\n%d lines not used, %s (first: %s)", bad.Count, bad.Reason, bad.First)
	}
	if len(s.Objectives) == 0 {
		fmt.Fprintf(w, "\nNo line has the objectives of the routes: every complete answer counts as in time. Use --%s.", flagObjective)
	}
	_, err := fmt.Fprintln(w)
	return err
}

// printPart prints the counts and causes of the period or of one of its spans.
func printPart(c *urfave.Context, kinds []explain.KindCounts, causes []explain.CauseCount) error {
	rows := table{{"kind", "sent", "in time", "late", "refused", "failed", "left", "turned away", "blind", "share"}}
	for _, k := range kinds {
		rows = append(rows, append(append([]string{k.Kind}, numbers(k.Sent, k.InTime, k.Late, k.Refused, k.Failed, k.Left, k.Rejected, k.RejectedOutdated)...),
			fmt.Sprintf("%.3f", k.Share())))
	}
	if err := rows.print(c); err != nil || len(causes) == 0 {
		return err
	}
	rows = table{{"cause", "kind", "late", "refused", "failed", "mean wait", "for example"}}
	for _, cause := range causes {
		row := slices.Concat([]string{string(cause.Cause), cause.Kind}, numbers(cause.Late, cause.Refused, cause.Failed),
			[]string{cause.Waited.Round(time.Millisecond).String(), exampleOf(cause)})
		rows = append(rows, row)
	}
	return rows.print(c)
}

func exampleOf(cause explain.CauseCount) string {
	if len(cause.Examples) == 0 {
		return ""
	}
	e := cause.Examples[0]
	text := fmt.Sprintf("%s took %v", e.Request, e.Took.Round(time.Millisecond))
	if e.First > 0 {
		text += fmt.Sprintf(", first event %v, longest pause %v", e.First.Round(time.Millisecond), e.Pause.Round(time.Millisecond))
	}
	if e.Server != "" {
		text += ", server " + e.Server
	}
	return text
}

func numbers(values ...int) []string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = strconv.Itoa(v)
	}
	return out
}
