package cli

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	urfave "github.com/urfave/cli/v2"

	adminpb "github.com/pearyard/pearyard/rpc/admin"
)

func (p *program) statusCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "status",
		Usage:     "show processes, quarantines and drains as known to one router",
		ArgsUsage: "[PROCESS|BACKEND]",
		Flags:     remoteFlags(),
		Before:    checkOutput,
		Action:    p.status,
	}
}

func (p *program) status(c *urfave.Context) error {
	client, err := p.client(c)
	if err != nil {
		return err
	}
	resp, err := client.status(c.Context, c.Args().First())
	if err != nil {
		return err
	}
	if c.String(flagOutput) == outputJSON {
		return printMessage(c, resp)
	}
	_, _ = fmt.Fprintf(c.App.Writer, "as seen by %s, revision %d in force there\n\n", resp.GetProcess(), resp.GetRevision())
	if err := memberTable(resp.GetMembers()).print(c); err != nil {
		return err
	}
	for _, q := range resp.GetQuarantines() {
		_, _ = fmt.Fprintf(c.App.Writer, "\nquarantined: request body %s of %s, %d engines lost, until %s\n",
			q.GetFingerprint(), q.GetOrganisation(), q.GetDeaths(), formatTime(q.GetUntilUnixMs()))
	}
	for _, d := range resp.GetDrains() {
		_, _ = fmt.Fprintln(c.App.Writer, drainLine(d))
	}
	return nil
}

func (c *client) status(ctx context.Context, name string) (*adminpb.StatusResponse, error) {
	return query(ctx, c, 0, func(ctx context.Context, address string) (*adminpb.StatusResponse, error) {
		return c.queries(address).Status(ctx, &adminpb.StatusRequest{Name: name})
	})
}

func memberTable(members []*adminpb.Member) table {
	rows := table{{"PROCESS", "ROLE", "ZONE", "BACKEND", "STATE", "INCARNATION", "REVISION", "IN FLIGHT", "LOAD"}}
	for _, m := range members {
		rows = append(rows, []string{
			m.GetProcess(), m.GetRole(), m.GetZone(), orDash(m.GetBackendServer()), m.GetState(),
			strconv.FormatUint(m.GetIncarnation(), 10), strconv.FormatUint(m.GetRevision(), 10),
			strconv.FormatUint(uint64(m.GetInFlight()), 10), loadText(m.GetLoad()),
		})
	}
	return rows
}

func loadText(load *adminpb.Load) string {
	if load == nil {
		return "-"
	}
	return fmt.Sprintf("%d/%d running, %d queued, %s old",
		load.GetRunning(), load.GetCapacity(), load.GetQueued(), milliseconds(load.GetAgeMs()))
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func drainLine(d *adminpb.Drain) string {
	line := fmt.Sprintf("%s: %s, %d streams, longest %s", d.GetProcess(), d.GetState(), d.GetStreams(), milliseconds(d.GetLongestMs()))
	if d.GetError() != "" {
		line += " (" + d.GetError() + ")"
	}
	return line
}

const flagKind = "kind"

func (p *program) stopCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "stop",
		Usage:     "start a planned stop of a backend server or a router; requests in flight are finished",
		ArgsUsage: "BACKEND|ROUTER",
		Flags: remoteFlags(
			&urfave.StringFlag{Name: flagKind, Usage: "backend or router; by default the kind of the named process"},
			&urfave.BoolFlag{Name: flagWait, Usage: "wait until the drain is done and print its progress; Ctrl-C ends the waiting, not the stop"},
			whoFlag(),
		),
		Before: checkOutput,
		Action: p.stop,
	}
}

func (p *program) stop(c *urfave.Context) error {
	args, err := arguments(c, "BACKEND|ROUTER")
	if err != nil {
		return err
	}
	client, err := p.client(c)
	if err != nil {
		return err
	}
	kind, err := client.kindOf(c.Context, c.String(flagKind), args[0])
	if err != nil {
		return err
	}
	// Stop is idempotent, so the next router may be called.
	resp, err := query(c.Context, client, 0, func(ctx context.Context, address string) (*adminpb.StopResponse, error) {
		return client.commands(address).Stop(ctx, &adminpb.StopRequest{Kind: kind, Name: args[0], Who: c.String(flagWho)})
	})
	if err != nil {
		return err
	}
	if err := printDrain(c, resp.GetDrain()); err != nil || !c.Bool(flagWait) {
		return err
	}
	return client.waitDrained(c, resp.GetDrain())
}

// kindOf returns the kind given by the flag, or else the kind of the named process.
func (c *client) kindOf(ctx context.Context, flag, name string) (adminpb.Kind, error) {
	switch flag {
	case "backend":
		return adminpb.Kind_KIND_BACKEND, nil
	case "router":
		return adminpb.Kind_KIND_ROUTER, nil
	case "":
	default:
		return 0, usageErrorf("--%s is %q; it is backend or router", flagKind, flag)
	}
	status, err := c.status(ctx, name)
	if err != nil {
		return 0, err
	}
	if len(status.GetMembers()) != 1 {
		return 0, exitErrorf(ExitNotFound, "%s names %d processes", name, len(status.GetMembers()))
	}
	if status.GetMembers()[0].GetRole() == "router" {
		return adminpb.Kind_KIND_ROUTER, nil
	}
	return adminpb.Kind_KIND_BACKEND, nil
}

func printDrain(c *urfave.Context, drain *adminpb.Drain) error {
	if c.String(flagOutput) == outputJSON {
		return printMessage(c, drain)
	}
	_, err := fmt.Fprintln(c.App.Writer, drainLine(drain))
	return err
}

// drainPollInterval is the pause between two queries of a drain's progress.
const drainPollInterval = time.Second

// waitDrained prints the progress until the drain is done or its process has ended.
func (c *client) waitDrained(cc *urfave.Context, drain *adminpb.Drain) error {
	for drain.GetState() != "done" {
		select {
		case <-cc.Context.Done():
			return exitErrorf(ExitInternal, "no longer waiting; the stop of %s continues", drain.GetProcess())
		case <-time.After(drainPollInterval):
		}
		status, err := c.status(cc.Context, drain.GetProcess())
		if err != nil {
			return err
		}
		next, gone := drainIn(status, drain.GetProcess())
		if gone {
			_, _ = fmt.Fprintf(cc.App.ErrWriter, "%s is gone\n", drain.GetProcess())
			return nil
		}
		if next == nil {
			continue // the responding router does not know of the drain yet
		}
		drain = next
		if err := printDrain(cc, drain); err != nil {
			return err
		}
	}
	return nil
}

// drainIn finds the drain of a process. gone is whether the process is dead or no
// longer a member.
func drainIn(status *adminpb.StatusResponse, process string) (drain *adminpb.Drain, gone bool) {
	gone = true
	for _, m := range status.GetMembers() {
		gone = gone && m.GetState() == "dead"
	}
	for _, d := range status.GetDrains() {
		if d.GetProcess() == process {
			return d, gone
		}
	}
	return nil, gone
}

func (p *program) explainCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "explain",
		Usage:     "show what every process did with one request, in order; with --summary, the outcomes of all requests of a period",
		ArgsUsage: "REQUEST-ID",
		Flags:     slices.Concat(remoteFlags(), logsFlags(), summaryFlags()),
		Before:    checkOutput,
		Action:    p.explain,
	}
}

func (p *program) explain(c *urfave.Context) error {
	if c.Bool(flagSummary) {
		return summarize(c)
	}
	args, err := arguments(c, "REQUEST-ID")
	if err != nil {
		return err
	}
	if files := c.StringSlice(flagLogs); len(files) > 0 {
		return explainLogs(c, files, args[0])
	}
	client, err := p.client(c)
	if err != nil {
		return err
	}
	resp, err := query(c.Context, client, gatherTimeout, func(ctx context.Context, address string) (*adminpb.ExplainResponse, error) {
		return client.queries(address).Explain(ctx, &adminpb.ExplainRequest{Request: args[0]})
	})
	if err != nil {
		return err
	}
	if c.String(flagOutput) == outputJSON {
		err = printMessage(c, resp)
	} else {
		err = printExplanation(c, resp)
	}
	if err == nil && len(resp.GetSteps()) == 0 {
		return exitErrorf(ExitNotFound, "no responding process has an event of %s", args[0])
	}
	return err
}

func printExplanation(c *urfave.Context, resp *adminpb.ExplainResponse) error {
	rows := table{}
	for _, step := range resp.GetSteps() {
		var fields []string
		for _, f := range step.GetFields() {
			fields = append(fields, f.GetName()+"="+strconv.Quote(f.GetValue()))
		}
		at := time.UnixMicro(step.GetAtUnixUs()).UTC().Format("2006-01-02T15:04:05.000000Z")
		rows = append(rows, []string{at, step.GetProcess(), step.GetEvent(), step.GetName(), strings.Join(fields, " ")})
	}
	if err := rows.print(c); err != nil {
		return err
	}
	for _, asked := range resp.GetAsked() {
		if asked.GetError() != "" {
			_, _ = fmt.Fprintf(c.App.Writer, "did not answer: %s: %s\n", asked.GetProcess(), asked.GetError())
		}
	}
	_, err := fmt.Fprintln(c.App.Writer, resp.GetCaveat())
	return err
}
