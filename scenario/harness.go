package scenario

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pearyard/pearyard/cli"
)

// maxParallelScripts limits how many scripts run concurrently.
const maxParallelScripts = 4

var scriptSlots = make(chan struct{}, maxParallelScripts)

type harnessKey struct{}

// harness holds the state of one running script.
type harness struct {
	site     *site
	callers  map[string]*caller
	crowds   map[string]*crowd
	aliases  map[string]string // alias -> process or VM, set by the commands name and holder
	ctx      context.Context
	revision int // last revision accepted by the commands apply and raced; the base of the next one
}

// Setup prepares a script and releases its resources when it ends. It is meant for
// testscript.Params.Setup.
func Setup(env *testscript.Env) error {
	scriptSlots <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	h := &harness{callers: map[string]*caller{}, crowds: map[string]*crowd{}, aliases: map[string]string{}, ctx: ctx}
	env.Values[harnessKey{}] = h
	env.Defer(func() {
		cancel()
		if h.site != nil {
			h.site.stop()
		}
		<-scriptSlots
	})
	return nil
}

// commandFunc implements one command of the scripts.
type commandFunc func(h *harness, ts *testscript.TestScript, args []string) error

// Commands returns the commands that scripts can use. It is meant for
// testscript.Params.Cmds.
func Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	own := map[string]commandFunc{
		"site": (*harness).startSite, "apply": (*harness).apply,
		"sigkill": (*harness).kill, "freeze": (*harness).freeze, "thaw": (*harness).thaw, "term": (*harness).term, "drain": (*harness).drain,
		"restart": (*harness).restart, "cut": (*harness).cut, "mend": (*harness).mend,
		"hold": (*harness).hold, "held": (*harness).held, "fault": (*harness).fault,
		"generate": (*harness).generate, "call": (*harness).call, "when": (*harness).when, "ended": (*harness).waitEnded,
		"name": (*harness).name, "expect": (*harness).expect, "eventually": (*harness).eventually,
		"request": (*harness).request, "answer": (*harness).checkAnswer, "rows": (*harness).rows, "ready": (*harness).ready, "elapse": (*harness).elapse,
		"in-force": (*harness).inForce, "organisation": (*harness).organisation, "edited": (*harness).edited, "exits": (*harness).exits, "vms": (*harness).vms, "counter": (*harness).counter, "raced": (*harness).raced,
		"set": (*harness).set, "rerun": (*harness).rerun, "within": (*harness).within, "met": (*harness).met,
		"served": (*harness).served, "holder": (*harness).holder, "order": (*harness).order,
		"organisations": (*harness).organisations, "crowd": (*harness).crowd, "crowded": (*harness).crowded, "logged": (*harness).logged,
	}
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range own {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			h, _ := ts.Value(harnessKey{}).(*harness)
			if neg {
				ts.Fatalf("command %s cannot be negated", name)
			}
			if h.site == nil && name != "site" {
				ts.Fatalf("the first command must be site, not %s", name)
			}
			if err := run(h, ts, args); err != nil {
				h.fail(ts, err)
			}
		}
	}
	return out
}

// fail ends a script with err, after printing the last lines of each process's log.
func (h *harness) fail(ts *testscript.TestScript, err error) {
	if h.site != nil {
		for _, name := range h.site.startOrder {
			ts.Logf("--- %s\n%s", name, h.site.processes[name].log.tail(logTail))
		}
	}
	ts.Fatalf("%v", err)
}

// resolve replaces aliases by the processes or VMs that they stand for, and
// `engine-of NAME`, `sidecar-of NAME`, `vm-of NAME` and `router-of NAME` by the process or
// VM that currently serves the caller NAME.
func (h *harness) resolve(args []string) ([]string, error) {
	var out []string
	for i := 0; i < len(args); i++ {
		kind, ok := strings.CutSuffix(args[i], "-of")
		if process := h.aliases[args[i]]; process != "" {
			out = append(out, process)
			continue
		}
		if !ok {
			out = append(out, args[i])
			continue
		}
		i++
		if i == len(args) {
			return nil, errors.Errorf("%s needs the name of a caller", args[i-1])
		}
		name, err := h.resolveServing(kind, args[i])
		if err != nil {
			return nil, err
		}
		out = append(out, name)
	}
	return out, nil
}

// resolveServing waits until the caller is served and returns the name of the `engine`,
// `sidecar`, `vm` or `router` (kind) that serves it. An engine has the number of its
// sidecar and of their VM.
func (h *harness) resolveServing(kind, name string) (string, error) {
	c, err := h.caller(name)
	if err != nil {
		return "", err
	}
	found := ""
	err = waitFor(conditionTimeout, kind+" that serves "+name, func() bool {
		router, _ := c.progress()
		if kind == "router" {
			found = h.site.routerAt(router)
		} else if i := h.site.servingSidecar(c); i > 0 {
			found = kind + "-" + strconv.Itoa(i)
		}
		return found != ""
	})
	return found, err
}

// routerAt returns the router that callers reach at address, or "" if none is there.
func (s *site) routerAt(address string) string {
	for i := range s.spec.routers {
		if s.address(fromCallers, routerName(i+1)) == address {
			return routerName(i + 1)
		}
	}
	return ""
}

func (h *harness) caller(name string) (*caller, error) {
	c := h.callers[name]
	if c == nil {
		return nil, errors.Errorf("unknown caller %q", name)
	}
	return c, nil
}

// processesOf returns the processes that the names stand for. A VM stands for its
// sidecar and the backend server beside it.
func (h *harness) processesOf(names []string) ([]*process, error) {
	names, err := h.resolve(names)
	if err != nil {
		return nil, err
	}
	var out []*process
	for _, name := range names {
		parts := []string{name}
		if number, ok := strings.CutPrefix(name, "vm-"); ok {
			i, err := strconv.Atoi(number)
			if err != nil || i < 1 || i > h.site.sidecarCount() {
				return nil, errors.Errorf("unknown VM %q", name)
			}
			backend, _ := h.site.backendOf(i)
			parts = []string{sidecarName(i), backend}
		}
		for _, part := range parts {
			p := h.site.processes[part]
			if p == nil {
				return nil, errors.Errorf("unknown process %q", part)
			}
			out = append(out, p)
		}
	}
	return out, nil
}

// options holds parsed `NAME=VALUE` arguments.
type options map[string]string

// parseOptions parses arguments, whose names must be among the known ones.
func parseOptions(args []string, known ...string) (options, error) {
	out := options{}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok || !slices.Contains(known, name) {
			return nil, errors.Errorf("argument %q: want NAME=VALUE, with NAME one of %s", arg, strings.Join(known, ", "))
		}
		out[name] = value
	}
	return out, nil
}

// setInt parses the option as an integer into *into, which keeps its value if the
// option is absent.
func (o options) setInt(name string, into *int) error {
	value, ok := o[name]
	if !ok {
		return nil
	}
	n, err := strconv.Atoi(value)
	*into = n
	return errors.Wrap(err, name)
}

// setDuration parses the option as a duration into *into, which keeps its value if the
// option is absent.
func (o options) setDuration(name string, into *time.Duration) error {
	value, ok := o[name]
	if !ok {
		return nil
	}
	d, err := time.ParseDuration(value)
	*into = d
	return errors.Wrap(err, name)
}

// setEnvironment sets the variables that `pearyard` needs to reach the routers.
func (h *harness) setEnvironment(ts *testscript.TestScript) {
	var addresses []string
	for i := range h.site.spec.routers {
		addresses = append(addresses, h.site.address(fromHarness, routerName(i+1)))
	}
	ts.Setenv(cli.EnvAdmin, strings.Join(addresses, ","))
	ts.Setenv(cli.EnvToken, adminToken)
	ts.Setenv("PEARYARD_WHO", "scenario")
}

// conditionTimeout bounds the wait for a condition; it allows for a busy machine.
const conditionTimeout = 20 * time.Second
