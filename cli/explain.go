package cli

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/explain"
)

const (
	flagLogs  = "logs"
	logsStdin = "-"
)

// explainLogs explains from log files how a request ended and why.
func explainLogs(c *urfave.Context, files []string, request string) error {
	var lines []explain.Line
	for _, name := range files {
		read, err := readLogs(c, name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	explanation := explain.Request(lines, request)
	if c.String(flagOutput) == outputJSON {
		return printJSON(c, explanation)
	}
	if err := printLogExplanation(c, explanation); err != nil {
		return err
	}
	if len(explanation.Lines) == 0 {
		return exitErrorf(ExitNotFound, "no line mentions %s", request)
	}
	return nil
}

// logsFlags is the flag with which explain reads log files instead of calling a router.
func logsFlags() []urfave.Flag {
	return []urfave.Flag{&urfave.StringSliceFlag{
		Name: flagLogs, Usage: "read log files instead of querying processes; - is standard input; repeatable",
	}}
}

func readLogs(c *urfave.Context, name string) ([]explain.Line, error) {
	if name == logsStdin {
		lines, err := explain.Read(c.App.Reader)
		return lines, errors.Wrap(err, "standard input")
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "explain")
	}
	defer file.Close()
	lines, err := explain.Read(file)
	return lines, errors.Wrap(err, name)
}

func printLogExplanation(c *urfave.Context, explanation explain.Explanation) error {
	rows := table{}
	for _, line := range slices.Concat(explanation.Lines, explanation.Around) {
		rows = append(rows, []string{line.At.UTC().Format("15:04:05.000000"), line.Process, line.Event, line.Name, fieldsOf(line)})
	}
	slices.SortStableFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	if err := rows.print(c); err != nil {
		return err
	}
	_, err := fmt.Fprintln(c.App.Writer, explanation.Cause)
	return err
}

func fieldsOf(line explain.Line) string {
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s=%q", name, line.Fields[name])
	}
	return strings.Join(names, " ")
}
