package scenario

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/cli"
	"github.com/pearyard/pearyard/client"
	"github.com/pearyard/pearyard/embedded"
	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/membership"
	"github.com/pearyard/pearyard/router"
	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/types"
)

// single is one HTTP request to one router; it is never sent again.
type single struct {
	url     string
	key     string // idempotency key
	apiKey  string
	timeout string // the caller's own deadline in seconds
	body    []byte
}

// request: request NAME SERVICE [path=print] [key=K] [body=TEXT] [router=1] [timeout=SECONDS] [api-key=KEY];
// begins one request. SERVICE `completions` asks for a generation, whose prompt is the body.
func (b *bench) request(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 || b.callers[args[0]] != nil {
		return errors.New("request NAME SERVICE, with a new NAME")
	}
	o, err := parseOptions(args[2:], "path", "key", "body", "router", "timeout", "api-key")
	if err != nil {
		return err
	}
	number := 1
	if err := o.number("router", &number); err != nil {
		return err
	}
	base := "http://" + b.site.at(fromCallers, routerName(number))
	ask := single{url: base + "/services/" + args[1] + "/" + o.or("path", "print"), key: o["key"], timeout: o["timeout"]}
	ask.apiKey, ask.body = o.or("api-key", embedded.APIKey), []byte(o.or("body", o["key"]))
	if args[1] == "completions" {
		ask.url = base + "/v1/completions"
		if ask.body, err = json.Marshal(client.Request{Model: embedded.Model, Prompt: o.or("body", args[0]), MaxTokens: 10}); err != nil {
			return err
		}
	}
	c := &caller{done: make(chan struct{})}
	b.callers[args[0]] = c
	begun := time.Now()
	go func() {
		defer close(c.done)
		c.body, c.err = ask.do(b, c)
		c.took = time.Since(begun)
	}()
	return nil
}

func (o options) or(name, other string) string {
	if value, ok := o[name]; ok {
		return value
	}
	return other
}

func (s single) do(b *bench, c *caller) ([]byte, error) {
	req, err := http.NewRequestWithContext(b.ctx, http.MethodPost, s.url, bytes.NewReader(s.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+s.apiKey)
	if s.key != "" {
		req.Header.Set(standin.HeaderIdempotencyKey, s.key)
	}
	if s.timeout != "" {
		req.Header.Set(router.HeaderTimeout, s.timeout)
	}
	return read((&http.Client{Transport: c}).Do(req))
}

// answer: answer NAME CONDITION...; `within<2s` bounds the time until the answer
// or refusal, `run=N` is the service's number of the run that was answered,
// `same=OTHER` compares bodies.
func (b *bench) answerOf(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("answer NAME CONDITION...")
	}
	c, err := b.caller(args[0])
	if err != nil {
		return err
	}
	if err := b.wait(ts, args[:1]); err != nil {
		return err
	}
	for _, condition := range args[1:] {
		if other, ok := strings.CutPrefix(condition, "same="); ok {
			err = b.sameBody(ts, c, other)
		} else {
			err = compare(condition, c.measured)
		}
		if err != nil {
			return errors.Wrap(err, args[0])
		}
	}
	return nil
}

func (c *caller) measured(name string) (float64, bool) {
	switch name {
	case "within":
		return c.took.Seconds(), true
	case "run":
		var answer standin.PlainAnswer
		err := json.Unmarshal(c.body, &answer)
		return float64(answer.Run), err == nil
	}
	return 0, false
}

func (b *bench) sameBody(ts *testscript.TestScript, c *caller, name string) error {
	other, err := b.caller(name)
	if err != nil {
		return err
	}
	if err := b.wait(ts, []string{name}); err != nil {
		return err
	}
	if c.err != nil || other.err != nil || !bytes.Equal(c.body, other.body) {
		return errors.Errorf("not the answer of %s: %q (%v) and %q (%v)", name, c.body, c.err, other.body, other.err)
	}
	return nil
}

// rows: rows PREFIX TEXT N; waits until the table has N rows under the prefix
// whose values contain TEXT
func (b *bench) rows(_ *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errors.New("rows PREFIX TEXT N")
	}
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	query := url.Values{"prefix": {args[0]}, "limit": {"100"}}
	address := "http://" + b.site.at(fromHarness, platformName) + "/v1/table/rows?" + query.Encode()
	return await(conditionTimeout, "rows "+strings.Join(args, " "), func() bool {
		var rows []backing.Row
		if getJSON(address, &rows) != nil {
			return false
		}
		n := 0
		for _, row := range rows {
			if bytes.Contains(row.Value, []byte(args[1])) {
				n++
			}
		}
		return n == want
	})
}

// ready: ready; waits until every router takes callers and has met all sidecars.
// A router that hasn't met the sidecar of a plain service can't name it in a claim.
func (b *bench) ready(_ *testscript.TestScript, _ []string) error {
	if err := b.site.ready(); err != nil {
		return err
	}
	return await(readyTimeout, "routers have met all sidecars", func() bool {
		for i := range b.site.size.routers {
			if b.site.met(routerName(i+1)) != b.site.sidecars() {
				return false
			}
		}
		return true
	})
}

// met counts the sidecars that a router knows to be alive in their present run.
func (s *site) met(router string) int {
	var here membership.Dump
	if s.dump(router, "membership", &here) != nil {
		return 0
	}
	n := 0
	for _, m := range here.Members {
		var own membership.Dump
		if m.Role == types.RoleSidecar && m.State == membership.StateAlive &&
			s.dump(string(m.ID), "membership", &own) == nil && own.Self.Incarnation == m.Incarnation {
			n++
		}
	}
	return n
}

// elapse: elapse DURATION; time passes, for what is bounded by an age
func (b *bench) elapse(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("elapse DURATION")
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	select {
	case <-time.After(d):
	case <-b.ctx.Done():
	}
	return nil
}

// inForce: in-force REVISION within=4s NAME...; waits until the processes have
// the revision or a later one in force, at most that long from now
func (b *bench) inForce(_ *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("in-force REVISION within=DURATION NAME...")
	}
	revision, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	limit, err := time.ParseDuration(strings.TrimPrefix(args[1], "within="))
	if err != nil {
		return err
	}
	names, err := b.resolve(args[2:])
	if err != nil {
		return err
	}
	begun := time.Now()
	for _, name := range names {
		err := await(limit-time.Since(begun), name+" at revision "+args[0], func() bool {
			have, err := b.site.revision(name)
			return err == nil && have >= types.Revision(revision)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *site) revision(name string) (types.Revision, error) {
	var state inspect.State
	err := getJSON("http://"+s.at(fromPeers, name)+inspect.PathState, &state)
	return state.Revision, err
}

// organisation: organisation FIELD=VALUE...; sets limits of the callers'
// organisation, such as requestsPerSecond=1, and applies the text
func (b *bench) organisation(ts *testscript.TestScript, args []string) error {
	limits := &b.site.text.Organisations[0].Limits
	for _, arg := range args {
		field, value, _ := strings.Cut(arg, "=")
		decoder := json.NewDecoder(strings.NewReader(`{"` + field + `":` + value + `}`))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(limits); err != nil {
			return errors.Wrap(err, arg)
		}
	}
	return b.apply(ts, nil)
}

// edited: edited FILE SECTION.FIELD=VALUE...; writes a changed text without
// applying it, as an operator has it who hasn't heard of others' changes
func (b *bench) edited(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("edited FILE SECTION.FIELD=VALUE...")
	}
	own := *b.site.text
	if err := edit(&own, args[1:]); err != nil {
		return err
	}
	return b.site.write(ts.MkAbs(args[0]), &own)
}

// exits: exits STATUS PROGRAM ARGS...; the program ends with this status
func (b *bench) exits(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("exits STATUS PROGRAM ARGS...")
	}
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	status := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var ended *exec.ExitError
		if !errors.As(err, &ended) {
			return err
		}
		status = ended.ExitCode()
	}
	if status != want {
		return errors.Errorf("%s: status %d, wanted %d", strings.Join(args[1:], " "), status, want)
	}
	return nil
}

// raced: raced BASE FILE...; operators apply the files on one base at once: one
// of them ends with status 0, all others with that of a lost race
func (b *bench) raced(ts *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("raced BASE FILE...")
	}
	states := make([]int, len(args)-1)
	var wait sync.WaitGroup
	for i, file := range args[1:] {
		wait.Go(func() { states[i] = b.status(ts, "apply", "--base", args[0], file) })
	}
	wait.Wait()
	slices.Sort(states)
	lost := slices.Repeat([]int{cli.ExitRace}, len(states)-1)
	if !slices.Equal(states, append([]int{cli.ExitOK}, lost...)) {
		return errors.Errorf("raced: statuses %v", states)
	}
	b.revision++
	return nil
}

// status runs the operators' command line beside others and returns its exit status.
func (b *bench) status(ts *testscript.TestScript, args ...string) int {
	cmd, err := b.operator(ts, programCLI, args)
	if err != nil {
		return -1
	}
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode()
}

// vms: vms [N...]; sets the platform's list of VMs, of which those numbered N leave
func (b *bench) vms(_ *testscript.TestScript, args []string) error {
	var vms []backing.VM
	for i := range b.site.sidecars() {
		name := sidecarName(i + 1)
		vms = append(vms, backing.VM{ID: "vm-" + strconv.Itoa(i+1), Address: b.site.at(fromPeers, name), Zone: b.site.zone(i + 1)})
	}
	for _, arg := range args {
		n, err := strconv.Atoi(arg)
		if err != nil || n < 1 || n > len(vms) {
			return errors.Errorf("no VM %s", arg)
		}
		vms[n-1].Leaving = true
	}
	raw, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+b.site.at(fromHarness, platformName)+"/vms", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	_, err = read(lookClient.Do(req))
	return err
}

// counter: counter STAND-IN FIELD=N; a number of one stand-in's dump, as it is now
func (b *bench) counter(_ *testscript.TestScript, args []string) error {
	names, err := b.resolve(args)
	if err != nil {
		return err
	}
	if len(names) != 2 || b.site.processes[names[0]] == nil {
		return errors.New("counter STAND-IN FIELD=N")
	}
	counters, err := b.site.counters(names[0])
	if err != nil {
		return err
	}
	return errors.Wrap(compare(names[1], func(field string) (float64, bool) { n, ok := counters[field]; return n, ok }), names[0])
}
