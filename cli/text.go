package cli

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	urfave "github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/findings"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/text"
)

func (p *program) checkCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "check",
		Usage:     "check a configuration offline and show all findings",
		ArgsUsage: "FILE",
		Flags:     outputFlags(),
		Before:    checkOutput,
		Action:    p.check,
	}
}

func (p *program) check(c *urfave.Context) error {
	args, err := arguments(c, "FILE")
	if err != nil {
		return err
	}
	raw, err := p.readFile(args[0])
	if err != nil {
		return err
	}
	_, list := text.Parse(raw)
	printFindings(c, args[0], list)
	if list.HasErrors() {
		return exitErrorf(ExitFindings, "%s can't be accepted", args[0])
	}
	return nil
}

func printFindings(c *urfave.Context, file string, list findings.List) {
	if c.String(flagOutput) == outputJSON {
		_, _ = fmt.Fprintln(c.App.Writer, string(list.JSON()))
		return
	}
	for _, finding := range list {
		_, _ = fmt.Fprintf(c.App.Writer, "%s:%s\n", file, finding)
	}
	if len(list) == 0 {
		_, _ = fmt.Fprintf(c.App.Writer, "%s: no findings\n", file)
	}
}

const flagRevision = "revision"

func (p *program) getCommand() *urfave.Command {
	return &urfave.Command{
		Name:   "get",
		Usage:  "print a configuration; its revision is printed to standard error",
		Flags:  remoteFlags(&urfave.Uint64Flag{Name: flagRevision, Usage: "0 means the newest"}),
		Before: checkOutput,
		Action: p.get,
	}
}

// getOutput is the JSON output of get, with the configuration as a string and not as
// base64.
type getOutput struct {
	Revision         uint64 `json:"revision"`
	Base             uint64 `json:"base"`
	Who              string `json:"who"`
	Note             string `json:"note"`
	At               string `json:"at"`
	StoreUnavailable bool   `json:"store_unavailable"`
	Text             string `json:"text"`
}

func (p *program) get(c *urfave.Context) error {
	client, err := p.client(c)
	if err != nil {
		return err
	}
	resp, err := query(c.Context, client, 0, func(ctx context.Context, address string) (*adminpb.GetResponse, error) {
		return client.queries(address).Get(ctx, &adminpb.GetRequest{Revision: c.Uint64(flagRevision)})
	})
	if err != nil {
		return err
	}
	got := resp.GetRevision()
	if c.String(flagOutput) == outputJSON {
		return printJSON(c, getOutput{
			Revision: got.GetRevision(), Base: got.GetBase(), Who: got.GetWho(), Note: got.GetNote(),
			At: formatTime(got.GetAtUnixMs()), StoreUnavailable: resp.GetStoreUnavailable(), Text: string(got.GetText()),
		})
	}
	if resp.GetStoreUnavailable() {
		_, _ = fmt.Fprintln(c.App.ErrWriter, "the store does not respond; this is the revision in force in the router, there may be newer ones")
	}
	_, _ = fmt.Fprintf(c.App.ErrWriter, "revision %d by %s at %s\n", got.GetRevision(), got.GetWho(), formatTime(got.GetAtUnixMs()))
	_, err = c.App.Writer.Write(got.GetText())
	return err
}

// formatTime formats a time of the API.
func formatTime(unixMs int64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}

const flagLimit = "limit"

func (p *program) historyCommand() *urfave.Command {
	return &urfave.Command{
		Name:   "history",
		Usage:  "list accepted revisions, newest first",
		Flags:  remoteFlags(&urfave.UintFlag{Name: flagLimit, Value: 20}),
		Before: checkOutput,
		Action: p.history,
	}
}

func (p *program) history(c *urfave.Context) error {
	client, err := p.client(c)
	if err != nil {
		return err
	}
	resp, err := query(c.Context, client, 0, func(ctx context.Context, address string) (*adminpb.HistoryResponse, error) {
		return client.queries(address).History(ctx, &adminpb.HistoryRequest{Limit: uint32(c.Uint(flagLimit))})
	})
	if err != nil {
		return err
	}
	if c.String(flagOutput) == outputJSON {
		return printMessage(c, resp)
	}
	rows := table{{"REVISION", "AT", "WHO", "NOTE"}}
	for _, r := range resp.GetRevisions() {
		rows = append(rows, []string{strconv.FormatUint(r.GetRevision(), 10), formatTime(r.GetAtUnixMs()), r.GetWho(), r.GetNote()})
	}
	return rows.print(c)
}

func (p *program) diffCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "diff",
		Usage:     "compare two revisions, or a revision and a file; to compare two files, use diff(1)",
		ArgsUsage: "REVISION REVISION|FILE",
		Flags:     remoteFlags(),
		Before:    checkOutput,
		Action:    p.diff,
	}
}

func (p *program) diff(c *urfave.Context) error {
	req, err := p.diffRequest(c)
	if err != nil {
		return err
	}
	client, err := p.client(c)
	if err != nil {
		return err
	}
	resp, err := query(c.Context, client, 0, func(ctx context.Context, address string) (*adminpb.DiffResponse, error) {
		return client.queries(address).Diff(ctx, req)
	})
	if err != nil {
		return err
	}
	if c.String(flagOutput) == outputJSON {
		return printMessage(c, resp)
	}
	if resp.GetDiff() != "" {
		_, _ = fmt.Fprintln(c.App.Writer, resp.GetDiff())
	}
	return nil
}

// diffRequest takes a number as a revision and anything else as a file. A file whose
// name is a number can be given as ./NUMBER.
func (p *program) diffRequest(c *urfave.Context) (*adminpb.DiffRequest, error) {
	args, err := arguments(c, "REVISION", "REVISION|FILE")
	if err != nil {
		return nil, err
	}
	from, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return nil, usageErrorf("%q is not a revision", args[0])
	}
	req := &adminpb.DiffRequest{From: from}
	req.To, err = strconv.ParseUint(args[1], 10, 64)
	if err == nil {
		return req, nil
	}
	if _, err := os.Stat(args[1]); args[1] != "-" && err != nil {
		return nil, usageErrorf("%q is neither a revision nor a file", args[1])
	}
	req.ToText, err = p.readFile(args[1])
	return req, err
}
