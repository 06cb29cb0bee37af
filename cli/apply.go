package cli

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	urfave "github.com/urfave/cli/v2"

	adminpb "github.com/pearyard/pearyard/rpc/admin"
)

const (
	flagBase    = "base"
	flagNote    = "note"
	flagWait    = "wait"
	flagWaitFor = "wait-for"
)

// defaultWait is the default of --wait-for: a revision is expected to be in force
// everywhere within this time.
const defaultWait = 4 * time.Second

func (p *program) applyCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "apply",
		Usage:     "submit a configuration that replaces a base revision",
		ArgsUsage: "FILE",
		Flags: remoteFlags(
			&urfave.Uint64Flag{Name: flagBase, Usage: "`REVISION` that the configuration was edited from; 0 for the first one"},
			&urfave.StringFlag{Name: flagNote, Usage: "reason for the change, for the history"},
			&urfave.BoolFlag{Name: flagWait, Usage: "wait until every process has it in force"},
			&urfave.DurationFlag{Name: flagWaitFor, Value: defaultWait, Usage: "maximum time of --wait"},
			whoFlag(),
		),
		Before: checkOutput,
		Action: p.apply,
	}
}

func (p *program) apply(c *urfave.Context) error {
	args, err := arguments(c, "FILE")
	if err != nil {
		return err
	}
	if !c.IsSet(flagBase) {
		return usageErrorf("--%s is required: the revision that the configuration was edited from", flagBase)
	}
	raw, err := p.readFile(args[0])
	if err != nil {
		return err
	}
	client, err := p.client(c)
	if err != nil {
		return err
	}
	req := &adminpb.ApplyRequest{
		Base:   c.Uint64(flagBase),
		Text:   raw,
		Who:    c.String(flagWho),
		Note:   c.String(flagNote),
		Wait:   c.Bool(flagWait),
		WaitMs: c.Duration(flagWaitFor).Milliseconds(),
	}
	resp, err := client.apply(c.Context, req)
	if err != nil {
		return err
	}
	return printApplied(c, args[0], resp)
}

// applyRounds is how often each router is called.
const applyRounds = 2

// apply submits a configuration through any router.
//
// Failure guarded against: the response to an apply is lost after the configuration
// was accepted. If that were reported as an error, an operator who applies again on
// the new base would undo what others submitted in between. So after every failure
// with an unknown outcome the history is read. If it has no successor of the base,
// the call is sent again with the same base. The store accepts at most one successor
// of a base, so the first call, if it arrives late, and the second can't both take
// effect, whichever wins.
func (c *client) apply(ctx context.Context, req *adminpb.ApplyRequest) (*adminpb.ApplyResponse, error) {
	ambiguous := false // an earlier call may have taken effect
	sent := false      // an earlier call may have reached a router, whatever the response
	var err error
	for range applyRounds {
		for _, address := range c.addresses {
			var resp *adminpb.ApplyResponse
			resp, err = c.applyAt(ctx, address, req)
			if err == nil {
				return c.resolveOwnRace(ctx, req, resp, sent)
			}
			if neverSent(err) {
				continue
			}
			if !retryableElsewhere(err) {
				return nil, err
			}
			sent = true
			ambiguous = ambiguous || !reportedNotAccepted(err)
			if !ambiguous {
				continue
			}
			resp, readErr := c.readBack(ctx, req)
			if resp != nil || readErr != nil {
				return resp, readErr
			}
		}
	}
	if ambiguous {
		return nil, exitErrorf(ExitUnknown, "the configuration may have been accepted (%s); `pearyard history` will show it once a router responds", err)
	}
	return nil, errors.Wrap(err, "not accepted")
}

func (c *client) applyAt(ctx context.Context, address string, req *adminpb.ApplyRequest) (*adminpb.ApplyResponse, error) {
	return callRouter(ctx, c.timeout+waitTime(req), address, func(ctx context.Context, address string) (*adminpb.ApplyResponse, error) {
		return c.commands(address).Apply(ctx, req)
	})
}

func waitTime(req *adminpb.ApplyRequest) time.Duration {
	if !req.GetWait() {
		return 0
	}
	return time.Duration(req.GetWaitMs()) * time.Millisecond
}

// reportedNotAccepted reports whether the router itself, and not a proxy before
// it, responded that nothing was accepted.
func reportedNotAccepted(err error) bool {
	var answer twirp.Error
	return errors.As(err, &answer) && answer.Code() == twirp.Unavailable && answer.Meta("http_error_from_intermediary") == ""
}

// resolveOwnRace detects a race that was lost against an earlier call of the same
// command. The winner in the response may be based on the configuration of that call,
// so the successor of the base decides.
func (c *client) resolveOwnRace(ctx context.Context, req *adminpb.ApplyRequest, resp *adminpb.ApplyResponse, sent bool) (*adminpb.ApplyResponse, error) {
	winner := resp.GetRace().GetWinner()
	if !sent || winner == nil {
		return resp, nil
	}
	if sameChange(req, winner) {
		return c.accepted(ctx, req, winner.GetRevision())
	}
	found, err := c.readBack(ctx, req)
	if found == nil && err == nil {
		return nil, exitErrorf(ExitUnknown, "revision %d by %s was accepted; `pearyard history` will show whether the configuration was accepted before it",
			winner.GetRevision(), winner.GetWho())
	}
	return found, err
}

func sameChange(req *adminpb.ApplyRequest, accepted *adminpb.Revision) bool {
	return bytes.Equal(req.GetText(), accepted.GetText()) &&
		req.GetWho() == accepted.GetWho() &&
		req.GetNote() == accepted.GetNote()
}

// accepted returns the response for a configuration that was found to be accepted.
func (c *client) accepted(ctx context.Context, req *adminpb.ApplyRequest, revision uint64) (*adminpb.ApplyResponse, error) {
	resp := &adminpb.ApplyResponse{Revision: revision}
	if !req.GetWait() {
		return resp, nil
	}
	inForce, err := query(ctx, c, waitTime(req), func(ctx context.Context, address string) (*adminpb.InForce, error) {
		return c.queries(address).WaitInForce(ctx, &adminpb.InForceRequest{Revision: revision, WaitMs: req.GetWaitMs()})
	})
	if err != nil {
		return nil, exitErrorf(ExitNotInForce, "revision %d is accepted; it is unknown where it is in force: %s", revision, err)
	}
	resp.InForce = inForce
	return resp, nil
}

// readBackLimit is how many revisions are read to find the successor of the base.
const readBackLimit = 100

// readBack looks for the successor of the base. It returns nil if there is none yet
// or the history can't be read.
func (c *client) readBack(ctx context.Context, req *adminpb.ApplyRequest) (*adminpb.ApplyResponse, error) {
	history, err := query(ctx, c, 0, func(ctx context.Context, address string) (*adminpb.HistoryResponse, error) {
		return c.queries(address).History(ctx, &adminpb.HistoryRequest{Limit: readBackLimit})
	})
	if err != nil {
		return nil, nil // still unknown; the next router is called
	}
	successor := successorOf(req.GetBase(), history.GetRevisions())
	if successor == 0 {
		return nil, nil
	}
	got, err := query(ctx, c, 0, func(ctx context.Context, address string) (*adminpb.GetResponse, error) {
		return c.queries(address).Get(ctx, &adminpb.GetRequest{Revision: successor})
	})
	if err != nil {
		return nil, exitErrorf(ExitUnknown, "revision %d follows %d, but it can't be read: %s", successor, req.GetBase(), err)
	}
	if sameChange(req, got.GetRevision()) {
		return c.accepted(ctx, req, successor)
	}
	race := &adminpb.Race{Winner: got.GetRevision(), Diff: c.diffFrom(ctx, req.GetBase(), successor)}
	return &adminpb.ApplyResponse{Race: race}, nil
}

// diffFrom returns what a revision changed, or "" if that can't be read. The first
// revision has no base to compare with.
func (c *client) diffFrom(ctx context.Context, base, successor uint64) string {
	if base == 0 {
		return ""
	}
	resp, err := query(ctx, c, 0, func(ctx context.Context, address string) (*adminpb.DiffResponse, error) {
		return c.queries(address).Diff(ctx, &adminpb.DiffRequest{From: base, To: successor})
	})
	if err != nil {
		return ""
	}
	return resp.GetDiff()
}

// successorOf returns the smallest revision after base, or 0 if there is none.
func successorOf(base uint64, revisions []*adminpb.Revision) uint64 {
	successor := uint64(0)
	for _, r := range revisions {
		if r.GetRevision() > base && (successor == 0 || r.GetRevision() < successor) {
			successor = r.GetRevision()
		}
	}
	return successor
}

// printApplied prints the response. It returns an error with an exit code unless the
// command succeeded completely.
func printApplied(c *urfave.Context, file string, resp *adminpb.ApplyResponse) error {
	if c.String(flagOutput) == outputJSON {
		if err := printMessage(c, resp); err != nil {
			return err
		}
		return appliedError(resp)
	}
	for _, finding := range resp.GetFindings() {
		_, _ = fmt.Fprintln(c.App.ErrWriter, findingLine(file, finding))
	}
	if race := resp.GetRace(); race != nil && race.GetDiff() != "" {
		_, _ = fmt.Fprintln(c.App.Writer, race.GetDiff())
	}
	if resp.GetRevision() != 0 {
		_, _ = fmt.Fprintf(c.App.Writer, "accepted as revision %d\n", resp.GetRevision())
	}
	if inForce := resp.GetInForce(); inForce != nil {
		_, _ = fmt.Fprintf(c.App.Writer, "in force in %d of %d processes\n", inForce.GetInForce(), inForce.GetProcesses())
		printBehind(c, inForce)
	}
	return appliedError(resp)
}

func findingLine(file string, f *adminpb.Finding) string {
	return fmt.Sprintf("%s:%d:%d: %s: %s: %s", file, f.GetLine(), f.GetColumn(), f.GetSeverity(), f.GetPointer(), f.GetMessage())
}

func printBehind(c *urfave.Context, inForce *adminpb.InForce) {
	for _, b := range inForce.GetBehind() {
		_, _ = fmt.Fprintf(c.App.Writer, "not in force: %s (%s, revision %d) %s\n", b.GetProcess(), b.GetState(), b.GetRevision(), b.GetError())
	}
}

func appliedError(resp *adminpb.ApplyResponse) error {
	switch {
	case resp.GetRace() != nil:
		winner := resp.GetRace().GetWinner()
		return exitErrorf(ExitRace, "not accepted: revision %d by %s (%q) was accepted on the same base first",
			winner.GetRevision(), winner.GetWho(), winner.GetNote())
	case resp.GetRevision() == 0:
		return exitErrorf(ExitFindings, "not accepted: the configuration has %d findings", len(resp.GetFindings()))
	case len(resp.GetInForce().GetBehind()) > 0:
		return exitErrorf(ExitNotInForce, "revision %d is accepted, but not in force in %d processes",
			resp.GetRevision(), len(resp.GetInForce().GetBehind()))
	default:
		return nil
	}
}
