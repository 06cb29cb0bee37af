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

// atOnce is how many scripts run side by side.
const atOnce = 4

var slots = make(chan struct{}, atOnce)

type benchKey struct{}

// bench is the state of one script.
type bench struct {
	site     *site
	callers  map[string]*caller
	crowds   map[string]*crowd
	names    map[string]string // given by name
	ctx      context.Context
	revision int // in force
}

// Setup prepares a script; it is given to testscript.Params.
func Setup(env *testscript.Env) error {
	slots <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	b := &bench{callers: map[string]*caller{}, crowds: map[string]*crowd{}, names: map[string]string{}, ctx: ctx}
	env.Values[benchKey{}] = b
	env.Defer(func() {
		cancel()
		if b.site != nil {
			b.site.stop()
		}
		<-slots
	})
	return nil
}

// verb carries one command of the language out.
type verb func(b *bench, ts *testscript.TestScript, args []string) error

// Commands returns the commands of the language; they are given to testscript.Params.
func Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	own := map[string]verb{
		"site": (*bench).startSite, "apply": (*bench).apply,
		"sigkill": (*bench).kill, "freeze": (*bench).freeze, "thaw": (*bench).thaw, "term": (*bench).term, "drain": (*bench).stop,
		"restart": (*bench).restart, "cut": (*bench).cut, "mend": (*bench).mend,
		"hold": (*bench).hold, "held": (*bench).held, "fault": (*bench).fault,
		"generate": (*bench).generate, "call": (*bench).call, "when": (*bench).when, "ended": (*bench).wait,
		"name": (*bench).name, "expect": (*bench).expect, "eventually": (*bench).eventually,
		"request": (*bench).request, "answer": (*bench).answerOf, "rows": (*bench).rows, "ready": (*bench).ready, "elapse": (*bench).elapse,
		"in-force": (*bench).inForce, "organisation": (*bench).organisation, "edited": (*bench).edited, "exits": (*bench).exits, "vms": (*bench).vms, "counter": (*bench).counter, "raced": (*bench).raced,
		"set": (*bench).set, "rerun": (*bench).rerun, "within": (*bench).within, "met": (*bench).met,
		"served": (*bench).served, "holder": (*bench).holder, "order": (*bench).order,
		"organisations": (*bench).organisations, "crowd": (*bench).crowd, "crowded": (*bench).crowded, "logged": (*bench).logged,
	}
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range own {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			b, _ := ts.Value(benchKey{}).(*bench)
			if neg {
				ts.Fatalf("%s can't be negated", name)
			}
			if b.site == nil && name != "site" {
				ts.Fatalf("site comes first")
			}
			if err := run(b, ts, args); err != nil {
				b.fail(ts, err)
			}
		}
	}
	return out
}

// fail ends a script with the last lines of every process's log.
func (b *bench) fail(ts *testscript.TestScript, err error) {
	if b.site != nil {
		for _, name := range b.site.order {
			ts.Logf("--- %s\n%s", name, b.site.processes[name].log.tail())
		}
	}
	ts.Fatalf("%v", err)
}

// resolve replaces given names, and `engine-of NAME`, `sidecar-of NAME`, `vm-of
// NAME` and `router-of NAME` by the process that serves the caller NAME now.
func (b *bench) resolve(args []string) ([]string, error) {
	var out []string
	for i := 0; i < len(args); i++ {
		kind, ok := strings.CutSuffix(args[i], "-of")
		if given := b.names[args[i]]; given != "" {
			out = append(out, given)
			continue
		}
		if !ok {
			out = append(out, args[i])
			continue
		}
		i++
		if i == len(args) {
			return nil, errors.Errorf("%s needs a name", args[i-1])
		}
		name, err := b.serving(kind, args[i])
		if err != nil {
			return nil, err
		}
		out = append(out, name)
	}
	return out, nil
}

func (b *bench) serving(kind, name string) (string, error) {
	c, err := b.caller(name)
	if err != nil {
		return "", err
	}
	found := ""
	err = await(conditionTimeout, kind+" of "+name, func() bool {
		router, _ := c.now()
		if kind == "router" {
			found = b.site.routerAt(router)
		} else if i := b.site.runner(c); i > 0 {
			found = kind + "-" + strconv.Itoa(i)
		}
		return found != ""
	})
	return found, err
}

func (s *site) routerAt(address string) string {
	for i := range s.size.routers {
		if s.at(fromCallers, routerName(i+1)) == address {
			return routerName(i + 1)
		}
	}
	return ""
}

func (b *bench) caller(name string) (*caller, error) {
	c := b.callers[name]
	if c == nil {
		return nil, errors.Errorf("no caller %s", name)
	}
	return c, nil
}

// members lists the processes behind a name: a VM is its sidecar and the
// backend server beside it.
func (b *bench) members(names []string) ([]*process, error) {
	names, err := b.resolve(names)
	if err != nil {
		return nil, err
	}
	var out []*process
	for _, name := range names {
		parts := []string{name}
		if number, ok := strings.CutPrefix(name, "vm-"); ok {
			i, err := strconv.Atoi(number)
			if err != nil || i < 1 || i > b.site.sidecars() {
				return nil, errors.Errorf("no VM %s", name)
			}
			backend, _ := b.site.backendOf(i)
			parts = []string{sidecarName(i), backend}
		}
		for _, part := range parts {
			p := b.site.processes[part]
			if p == nil {
				return nil, errors.Errorf("no process %s", part)
			}
			out = append(out, p)
		}
	}
	return out, nil
}

// options takes `NAME=VALUE` arguments apart.
type options map[string]string

func parseOptions(args []string, known ...string) (options, error) {
	out := options{}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok || !slices.Contains(known, name) {
			return nil, errors.Errorf("%q is none of %s, each with =VALUE", arg, strings.Join(known, ", "))
		}
		out[name] = value
	}
	return out, nil
}

// number reads a whole number, or keeps what stands in into.
func (o options) number(name string, into *int) error {
	value, ok := o[name]
	if !ok {
		return nil
	}
	n, err := strconv.Atoi(value)
	*into = n
	return errors.Wrap(err, name)
}

// duration reads a duration, or keeps what stands in into.
func (o options) duration(name string, into *time.Duration) error {
	value, ok := o[name]
	if !ok {
		return nil
	}
	d, err := time.ParseDuration(value)
	*into = d
	return errors.Wrap(err, name)
}

// environment is what `pearyard` needs to reach the routers.
func (b *bench) environment(ts *testscript.TestScript) {
	var addresses []string
	for i := range b.site.size.routers {
		addresses = append(addresses, b.site.at(fromHarness, routerName(i+1)))
	}
	ts.Setenv(cli.EnvAdmin, strings.Join(addresses, ","))
	ts.Setenv(cli.EnvToken, adminToken)
	ts.Setenv("PEARYARD_WHO", "scenario")
}

// conditionTimeout is how long a condition may take on a busy machine.
const conditionTimeout = 20 * time.Second
