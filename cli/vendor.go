package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	urfave "github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/admin"
	"github.com/pearyard/pearyard/event"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
)

// gatherTimeout is added to the timeout of a call that queries every process of a
// site. The router queries admin.DefaultParallel (32) processes at once, so that each 32
// frozen processes, of the 95 of a frozen zone, cost admin.DefaultTimeout.
const gatherTimeout = 30 * time.Second

// bundleTimeout is the same for a bundle, whose files are also fetched, masked and
// compressed: 2,000 processes took 20 s.
const bundleTimeout = 2 * time.Minute

func (p *program) dumpCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "dump",
		Usage:     "print the state of one process as JSON",
		ArgsUsage: "PROCESS",
		Flags:     remoteFlags(),
		Before:    checkOutput,
		Action:    p.dump,
	}
}

func (p *program) dump(c *urfave.Context) error {
	args, err := arguments(c, "PROCESS")
	if err != nil {
		return err
	}
	client, err := p.client(c)
	if err != nil {
		return err
	}
	resp, err := query(c.Context, client, 0, func(ctx context.Context, address string) (*adminpb.DumpResponse, error) {
		return client.queries(address).Dump(ctx, &adminpb.DumpRequest{Process: args[0]})
	})
	if err != nil {
		return err
	}
	if resp.GetTruncated() {
		_, _ = fmt.Fprintln(c.App.ErrWriter, "the dump is truncated at its size limit")
	}
	if _, err := c.App.Writer.Write(resp.GetState()); err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.App.Writer)
	return err
}

const flagFile = "o"

func (p *program) bundleCommand() *urfave.Command {
	return &urfave.Command{
		Name:   "bundle",
		Usage:  "write a tar.gz from which a vendor without access can diagnose the site",
		Flags:  remoteFlags(&urfave.StringFlag{Name: flagFile, Usage: "`FILE` to write"}),
		Before: checkOutput,
		Action: p.bundle,
	}
}

func (p *program) bundle(c *urfave.Context) error {
	name := c.String(flagFile)
	if name == "" {
		return usageErrorf("-%s FILE is required", flagFile)
	}
	client, err := p.client(c)
	if err != nil {
		return err
	}
	size, err := query(c.Context, client, bundleTimeout, func(ctx context.Context, address string) (int64, error) {
		return client.saveBundle(ctx, address, name)
	})
	if err != nil {
		return err
	}
	if c.String(flagOutput) == outputJSON {
		return printJSON(c, bundleResult{File: name, Bytes: size})
	}
	_, err = fmt.Fprintf(c.App.Writer, "%s: %d bytes; its MANIFEST.json lists the processes that did not respond\n", name, size)
	return err
}

// bundleResult is the JSON output of bundle.
type bundleResult struct {
	File  string `json:"file"`
	Bytes int64  `json:"bytes"`
}

// saveBundle writes the bundle to a temporary file first, so that an incomplete
// transfer never has the final name.
func (c *client) saveBundle(ctx context.Context, address, name string) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+admin.PathBundle, nil)
	if err != nil {
		return 0, usageErrorf("%s", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, twirp.InternalErrorWith(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusUnauthorized {
		return 0, twirp.Unauthenticated.Error("wrong or missing bearer token")
	}
	if resp.StatusCode != http.StatusOK {
		return 0, twirp.Unavailable.Errorf("bundle: status %d", resp.StatusCode)
	}
	return saveFile(name, resp.Body)
}

func saveFile(name string, body io.Reader) (int64, error) {
	part, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".part-*")
	if err != nil {
		return 0, usageErrorf("%s", err)
	}
	defer os.Remove(part.Name())
	size, err := io.Copy(part, body)
	if err != nil {
		_ = part.Close()
		return 0, twirp.InternalErrorWith(errors.Wrapf(err, "copy the bundle to %s", part.Name()))
	}
	if err := part.Close(); err != nil {
		return 0, err
	}
	return size, os.Rename(part.Name(), name)
}

const flagMarkdown = "markdown"

func (p *program) eventsCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "events",
		Usage:     "describe an event of the catalogue, or list all",
		ArgsUsage: "[PY2101]",
		Flags:     outputFlags(&urfave.BoolFlag{Name: flagMarkdown, Usage: "print the whole catalogue as Markdown, as in docs/EVENTS.md"}),
		Before:    checkOutput,
		Action:    p.events,
	}
}

func (p *program) events(c *urfave.Context) error {
	if c.Bool(flagMarkdown) {
		return event.WriteMarkdown(c.App.Writer, event.Catalogue())
	}
	kinds := event.Catalogue()
	if c.Args().Present() {
		kind, ok := event.Find(c.Args().First())
		if !ok {
			return exitErrorf(ExitNotFound, "no event %q", c.Args().First())
		}
		kinds = []event.Kind{kind}
	}
	if c.String(flagOutput) == outputJSON {
		return printJSON(c, eventEntries(kinds))
	}
	if c.Args().Present() {
		k := kinds[0]
		_, err := fmt.Fprintf(c.App.Writer, "%s %s (%s)\nmeans: %s\nwhat to do: %s\n", k.ID(), k.Name, k.Level, k.Means, k.Do)
		return err
	}
	rows := table{{"EVENT", "NAME", "LEVEL", "MEANS"}}
	for _, k := range kinds {
		rows = append(rows, []string{k.ID(), k.Name, string(k.Level), k.Means})
	}
	return rows.print(c)
}

// eventEntry is the JSON output for one kind of event.
type eventEntry struct {
	ID    string      `json:"id"`
	Name  string      `json:"name"`
	Level event.Level `json:"level"`
	Means string      `json:"means"`
	Do    string      `json:"do"`
}

func eventEntries(kinds []event.Kind) []eventEntry {
	out := make([]eventEntry, len(kinds))
	for i, k := range kinds {
		out[i] = eventEntry{ID: k.ID(), Name: k.Name, Level: k.Level, Means: k.Means, Do: k.Do}
	}
	return out
}
