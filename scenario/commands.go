package scenario

import (
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pearyard/pearyard/cli"
)

// startSite: site [engines=3] [routers=2] [plains=1] [zones=3] [step=4ms] [poison-after=0] [recovery.FIELD=VALUE]...
func (b *bench) startSite(ts *testscript.TestScript, args []string) error {
	of := size{engines: 3, routers: 2, plains: 1, zones: 3, step: 4 * time.Millisecond}
	var fields, sizes []string
	for _, arg := range args {
		if name, _, _ := strings.Cut(arg, "="); strings.Contains(name, ".") {
			fields = append(fields, arg)
		} else {
			sizes = append(sizes, arg)
		}
	}
	o, err := parseOptions(sizes, "engines", "routers", "plains", "zones", "step", "poison-after")
	if err != nil {
		return err
	}
	for name, into := range map[string]*int{"engines": &of.engines, "routers": &of.routers, "plains": &of.plains, "zones": &of.zones, "poison-after": &of.poisonAfter} {
		if err := o.number(name, into); err != nil {
			return err
		}
	}
	if step, ok := o["step"]; ok {
		if of.step, err = time.ParseDuration(step); err != nil {
			return err
		}
	}
	b.site = newSite(ts.MkAbs("."), of)
	if err := b.site.start(); err != nil {
		return err
	}
	b.site.text = b.site.firstText()
	b.environment(ts)
	if err := b.apply(ts, fields); err != nil {
		return err
	}
	return b.site.ready()
}

// apply: apply [recovery.FIELD=VALUE] [limits.FIELD=VALUE]...
func (b *bench) apply(ts *testscript.TestScript, args []string) error {
	if err := edit(b.site.text, args); err != nil {
		return err
	}
	file, err := b.site.textFile()
	if err != nil {
		return err
	}
	if err := ts.Exec(programCLI, "apply", "--base", strconv.Itoa(b.revision), file); err != nil {
		return errors.Wrap(err, "pearyard apply")
	}
	b.revision++
	return nil
}

// generate: generate NAME [tokens=400] [key=K] [router=1] [prompt=TEXT] [stream=true] [patience=2.5s]; begins a caller
func (b *bench) generate(_ *testscript.TestScript, args []string) error {
	if len(args) == 0 || b.callers[args[0]] != nil {
		return errors.New("generate needs a new NAME")
	}
	o, err := parseOptions(args[1:], "tokens", "key", "router", "prompt", "stream", "patience")
	if err != nil {
		return err
	}
	ask := generation{prompt: "a lifting plan for " + args[0], tokens: 400, key: o["key"], first: 1, stream: o["stream"] != "false", patience: callerSilence}
	if prompt, ok := o["prompt"]; ok {
		ask.prompt = prompt
	}
	if err := o.number("tokens", &ask.tokens); err != nil {
		return err
	}
	if err := o.number("router", &ask.first); err != nil {
		return err
	}
	if err := o.duration("patience", &ask.patience); err != nil {
		return err
	}
	b.callers[args[0]] = generate(b.ctx, b.site.callerAddresses(), ask)
	return nil
}

func (s *site) callerAddresses() []string {
	var out []string
	for i := range s.size.routers {
		out = append(out, s.at(fromCallers, routerName(i+1)))
	}
	return out
}

// call: call NAME SERVICE PATH [key=K] [router=1]; begins a call of a plain service
func (b *bench) call(_ *testscript.TestScript, args []string) error {
	if len(args) < 3 || b.callers[args[0]] != nil {
		return errors.New("call NAME SERVICE PATH, with a new NAME")
	}
	o, err := parseOptions(args[3:], "key", "router")
	if err != nil {
		return err
	}
	router := 1
	if err := o.number("router", &router); err != nil {
		return err
	}
	b.callers[args[0]] = call(b.ctx, b.site.at(fromCallers, routerName(router)), args[1], args[2], o["key"])
	return nil
}

// when: when NAME token=100 COMMAND...; waits until the caller has that many tokens
func (b *bench) when(ts *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("when NAME token=N COMMAND")
	}
	c, err := b.caller(args[0])
	if err != nil {
		return err
	}
	o, err := parseOptions(args[1:2], "token")
	token := 0
	if err == nil {
		err = o.number("token", &token)
	}
	if err != nil {
		return err
	}
	err = await(conditionTimeout, strings.Join(args[:2], " "), func() bool {
		_, seen := c.now()
		return seen >= token || c.ended()
	})
	if err != nil {
		return err
	}
	if _, seen := c.now(); seen < token {
		return errors.Errorf("%s ended after %d tokens: %v", args[0], seen, c.err)
	}
	run := Commands()[args[2]]
	if run == nil {
		return errors.Errorf("when: no command %s", args[2])
	}
	run(ts, false, args[3:])
	return nil
}

// name: name NEW PROCESS; gives a process a second name, for when it no longer serves a caller
func (b *bench) name(_ *testscript.TestScript, args []string) error {
	names, err := b.resolve(args[min(1, len(args)):])
	if err != nil {
		return err
	}
	if len(names) != 1 {
		return errors.New("name NEW PROCESS")
	}
	b.names[args[0]] = names[0]
	return nil
}

// wait: ended NAME...; waits until callers or processes have ended
func (b *bench) wait(_ *testscript.TestScript, args []string) error {
	args, err := b.resolve(args)
	if err != nil {
		return err
	}
	for _, name := range args {
		var done <-chan struct{}
		if c := b.callers[name]; c != nil {
			done = c.done
		} else if p := b.site.processes[name]; p != nil {
			done = p.done
		} else {
			return errors.Errorf("no caller or process %s", name)
		}
		select {
		case <-done:
		case <-time.After(conditionTimeout):
			return errors.Errorf("%s hasn't ended within %s", name, conditionTimeout)
		}
	}
	return nil
}

// eventually: eventually PATTERN COMMAND...; runs a program until its output matches
func (b *bench) eventually(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("eventually PATTERN COMMAND")
	}
	pattern, err := regexp.Compile(args[0])
	if err != nil {
		return err
	}
	var out string
	err = await(conditionTimeout, strings.Join(args, " "), func() bool {
		cmd, err := b.operator(ts, args[1], args[2:])
		if err != nil {
			return false
		}
		raw, _ := cmd.CombinedOutput()
		out = string(raw)
		return pattern.MatchString(out)
	})
	return errors.Wrap(err, out)
}

// operator returns a command of an operator that can run beside others; those
// of testscript's exec can't.
func (b *bench) operator(ts *testscript.TestScript, program string, args []string) (*exec.Cmd, error) {
	binary, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(b.ctx, binary, args...)
	cmd.Args[0] = program
	cmd.Env = append(cmd.Environ(), cli.EnvAdmin+"="+ts.Getenv(cli.EnvAdmin), cli.EnvToken+"="+ts.Getenv(cli.EnvToken))
	cmd.Dir = ts.MkAbs(".")
	return cmd, nil
}
