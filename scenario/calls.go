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

// singleRequest is one HTTP request to one router; it is never retried.
type singleRequest struct {
	url     string
	key     string // idempotency key
	apiKey  string
	timeout string // value of router.HeaderTimeout, in seconds; "": none
	body    []byte
}

// request implements the command
//
//	request NAME SERVICE [path=print] [key=K] [body=TEXT] [router=1] [timeout=SECONDS] [api-key=KEY]
//
// which starts one request of a plain service; its body is the key by default. With the
// SERVICE `completions` it is a non-streaming generation of 10 tokens whose prompt is the
// body, by default NAME.
func (h *harness) request(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 || h.callers[args[0]] != nil {
		return errors.New("usage: request NAME SERVICE [OPTION=VALUE...], with an unused NAME")
	}
	o, err := parseOptions(args[2:], "path", "key", "body", "router", "timeout", "api-key")
	if err != nil {
		return err
	}
	routerNumber := 1
	if err := o.setInt("router", &routerNumber); err != nil {
		return err
	}
	base := "http://" + h.site.address(fromCallers, routerName(routerNumber))
	req := singleRequest{url: base + "/services/" + args[1] + "/" + o.valueOr("path", "print"), key: o["key"], timeout: o["timeout"]}
	req.apiKey, req.body = o.valueOr("api-key", embedded.APIKey), []byte(o.valueOr("body", o["key"]))
	if args[1] == "completions" {
		req.url = base + "/v1/completions"
		if req.body, err = json.Marshal(client.Request{Model: embedded.Model, Prompt: o.valueOr("body", args[0]), MaxTokens: 10}); err != nil {
			return err
		}
	}
	c := &caller{done: make(chan struct{})}
	h.callers[args[0]] = c
	start := time.Now()
	go func() {
		defer close(c.done)
		c.body, c.err = req.do(h, c)
		c.elapsed = time.Since(start)
	}()
	return nil
}

// valueOr returns the value of the option, or other if it is absent.
func (o options) valueOr(name, other string) string {
	if value, ok := o[name]; ok {
		return value
	}
	return other
}

func (s singleRequest) do(h *harness, c *caller) ([]byte, error) {
	req, err := http.NewRequestWithContext(h.ctx, http.MethodPost, s.url, bytes.NewReader(s.body))
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
	return readBody((&http.Client{Transport: c}).Do(req))
}

// checkAnswer implements `answer NAME CONDITION...`. The condition `within<2s` bounds
// the time until the answer or refusal, `run=N` compares the number that the service
// gave to the run whose answer this is, and `same=OTHER` compares the bodies of two
// answers.
func (h *harness) checkAnswer(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: answer NAME CONDITION...")
	}
	c, err := h.caller(args[0])
	if err != nil {
		return err
	}
	if err := h.waitEnded(ts, args[:1]); err != nil {
		return err
	}
	for _, condition := range args[1:] {
		if other, ok := strings.CutPrefix(condition, "same="); ok {
			err = h.expectSameBody(ts, c, other)
		} else {
			err = compare(condition, c.measurement)
		}
		if err != nil {
			return errors.Wrap(err, args[0])
		}
	}
	return nil
}

// measurement returns the value to which a condition of the command answer refers by name.
func (c *caller) measurement(name string) (float64, bool) {
	switch name {
	case "within":
		return c.elapsed.Seconds(), true
	case "run":
		var answer standin.PlainAnswer
		err := json.Unmarshal(c.body, &answer)
		return float64(answer.Run), err == nil
	}
	return 0, false
}

func (h *harness) expectSameBody(ts *testscript.TestScript, c *caller, name string) error {
	other, err := h.caller(name)
	if err != nil {
		return err
	}
	if err := h.waitEnded(ts, []string{name}); err != nil {
		return err
	}
	if c.err != nil || other.err != nil || !bytes.Equal(c.body, other.body) {
		return errors.Errorf("answer differs from that of %s: %q (error %v) and %q (error %v)", name, c.body, c.err, other.body, other.err)
	}
	return nil
}

// rows implements `rows PREFIX TEXT N`, which waits until the table has exactly N rows
// under the prefix whose values contain TEXT. It reads at most 100 rows.
func (h *harness) rows(_ *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: rows PREFIX TEXT N")
	}
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	query := url.Values{"prefix": {args[0]}, "limit": {"100"}}
	address := "http://" + h.site.address(fromHarness, platformName) + "/v1/table/rows?" + query.Encode()
	return waitFor(conditionTimeout, "rows "+strings.Join(args, " "), func() bool {
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

// ready implements `ready`, which waits until each router accepts callers and knows all
// sidecars as alive. A router that doesn't know the sidecar of a plain service can't name
// it in a claim.
func (h *harness) ready(_ *testscript.TestScript, _ []string) error {
	if err := h.site.ready(); err != nil {
		return err
	}
	return waitFor(readyTimeout, "all routers know all sidecars as alive", func() bool {
		for i := range h.site.spec.routers {
			if h.site.aliveSidecars(routerName(i+1)) != h.site.sidecarCount() {
				return false
			}
		}
		return true
	})
}

// aliveSidecars returns how many sidecars the router knows as alive in their current
// incarnation.
func (s *site) aliveSidecars(router string) int {
	var known membership.Dump
	if s.readSection(router, "membership", &known) != nil {
		return 0
	}
	n := 0
	for _, m := range known.Members {
		var own membership.Dump
		if m.Role == types.RoleSidecar && m.State == membership.StateAlive &&
			s.readSection(string(m.ID), "membership", &own) == nil && own.Self.Incarnation == m.Incarnation {
			n++
		}
	}
	return n
}

// elapse implements `elapse DURATION`, which sleeps. It is for behaviour that depends on
// time, such as the age of a configuration.
func (h *harness) elapse(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: elapse DURATION")
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	select {
	case <-time.After(d):
	case <-h.ctx.Done():
	}
	return nil
}

// inForce implements `in-force REVISION within=4s NAME...`, which waits until each
// process has the configuration revision or a later one in force, and fails if that
// takes longer in total.
func (h *harness) inForce(_ *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("usage: in-force REVISION within=DURATION NAME...")
	}
	revision, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	limit, err := time.ParseDuration(strings.TrimPrefix(args[1], "within="))
	if err != nil {
		return err
	}
	names, err := h.resolve(args[2:])
	if err != nil {
		return err
	}
	start := time.Now()
	for _, name := range names {
		err := waitFor(limit-time.Since(start), name+" at configuration revision "+args[0], func() bool {
			have, err := h.site.revision(name)
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
	err := getJSON("http://"+s.address(fromPeers, name)+inspect.PathState, &state)
	return state.Revision, err
}

// organisation implements `organisation FIELD=VALUE...`, which sets limits of
// embedded.Organisation, such as requestsPerSecond=1, and applies the configuration. All
// callers belong to it, except those of a crowd and requests with another API key.
func (h *harness) organisation(ts *testscript.TestScript, args []string) error {
	limits := &h.site.config.Organisations[0].Limits
	for _, arg := range args {
		field, value, _ := strings.Cut(arg, "=")
		decoder := json.NewDecoder(strings.NewReader(`{"` + field + `":` + value + `}`))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(limits); err != nil {
			return errors.Wrap(err, arg)
		}
	}
	return h.apply(ts, nil)
}

// edited implements `edited FILE SECTION.FIELD=VALUE...`, which writes a changed
// configuration to FILE without applying it, like that of an operator who doesn't know
// of others' changes.
func (h *harness) edited(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: edited FILE SECTION.FIELD=VALUE...")
	}
	own := *h.site.config
	if err := setConfigFields(&own, args[1:]); err != nil {
		return err
	}
	return h.site.writeJSON(ts.MkAbs(args[0]), &own)
}

// exits implements `exits STATUS PROGRAM ARGS...`, which runs the program and fails
// unless it ends with this exit status.
func (h *harness) exits(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: exits STATUS PROGRAM ARGS...")
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
		return errors.Errorf("%s: exit status %d, want %d", strings.Join(args[1:], " "), status, want)
	}
	return nil
}

// raced implements `raced BASE FILE...`, which applies all files concurrently on the same
// base revision, as several operators would. Exactly one must exit with cli.ExitOK and
// all others with cli.ExitRace.
func (h *harness) raced(ts *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("usage: raced BASE FILE...")
	}
	statuses := make([]int, len(args)-1)
	var wait sync.WaitGroup
	for i, file := range args[1:] {
		wait.Go(func() { statuses[i] = h.exitStatus(ts, "apply", "--base", args[0], file) })
	}
	wait.Wait()
	slices.Sort(statuses)
	lost := slices.Repeat([]int{cli.ExitRace}, len(statuses)-1)
	if !slices.Equal(statuses, append([]int{cli.ExitOK}, lost...)) {
		return errors.Errorf("raced: exit statuses %v, want one %d and otherwise %d", statuses, cli.ExitOK, cli.ExitRace)
	}
	h.revision++
	return nil
}

// exitStatus runs pearyard, possibly concurrently with other commands, and returns its
// exit status, or -1 if it can't be started.
func (h *harness) exitStatus(ts *testscript.TestScript, args ...string) int {
	cmd, err := h.operatorCommand(ts, programCLI, args)
	if err != nil {
		return -1
	}
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode()
}

// vms implements `vms [N...]`, which sets the platform's list of VMs and marks those
// numbered N as leaving.
func (h *harness) vms(_ *testscript.TestScript, args []string) error {
	var vms []backing.VM
	for i := range h.site.sidecarCount() {
		name := sidecarName(i + 1)
		vms = append(vms, backing.VM{ID: "vm-" + strconv.Itoa(i+1), Address: h.site.address(fromPeers, name), Zone: h.site.zone(i + 1)})
	}
	for _, arg := range args {
		n, err := strconv.Atoi(arg)
		if err != nil || n < 1 || n > len(vms) {
			return errors.Errorf("unknown VM %q", arg)
		}
		vms[n-1].Leaving = true
	}
	raw, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+h.site.address(fromHarness, platformName)+"/vms", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	_, err = readBody(inspectClient.Do(req))
	return err
}

// counter implements `counter STAND-IN FIELD=N`, which compares one number of a
// stand-in's dump without waiting.
func (h *harness) counter(_ *testscript.TestScript, args []string) error {
	names, err := h.resolve(args)
	if err != nil {
		return err
	}
	if len(names) != 2 || h.site.processes[names[0]] == nil {
		return errors.New("usage: counter STAND-IN FIELD=N")
	}
	counters, err := h.site.counters(names[0])
	if err != nil {
		return err
	}
	return errors.Wrap(compare(names[1], func(field string) (float64, bool) { n, ok := counters[field]; return n, ok }), names[0])
}
