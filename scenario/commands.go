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

// startSite implements the command
//
//	site [engines=3] [routers=2] [plains=1] [zones=3] [step=4ms] [poison-after=0] [recovery.FIELD=VALUE]...
//
// which starts a site, applies its first configuration and waits until it is ready.
func (h *harness) startSite(ts *testscript.TestScript, args []string) error {
	spec := siteSpec{engines: 3, routers: 2, plains: 1, zones: 3, step: 4 * time.Millisecond}
	var fields, specArgs []string
	for _, arg := range args {
		if name, _, _ := strings.Cut(arg, "="); strings.Contains(name, ".") {
			fields = append(fields, arg)
		} else {
			specArgs = append(specArgs, arg)
		}
	}
	o, err := parseOptions(specArgs, "engines", "routers", "plains", "zones", "step", "poison-after")
	if err != nil {
		return err
	}
	for name, into := range map[string]*int{"engines": &spec.engines, "routers": &spec.routers, "plains": &spec.plains, "zones": &spec.zones, "poison-after": &spec.poisonAfter} {
		if err := o.setInt(name, into); err != nil {
			return err
		}
	}
	if step, ok := o["step"]; ok {
		if spec.step, err = time.ParseDuration(step); err != nil {
			return err
		}
	}
	h.site = newSite(ts.MkAbs("."), spec)
	if err := h.site.start(); err != nil {
		return err
	}
	h.site.config = h.site.initialConfig()
	h.setEnvironment(ts)
	if err := h.apply(ts, fields); err != nil {
		return err
	}
	return h.site.ready()
}

// apply implements `apply [recovery.FIELD=VALUE] [limits.FIELD=VALUE]...`, which changes
// the configuration and applies it with the command line.
func (h *harness) apply(ts *testscript.TestScript, args []string) error {
	if err := setConfigFields(h.site.config, args); err != nil {
		return err
	}
	file, err := h.site.writeConfig()
	if err != nil {
		return err
	}
	if err := ts.Exec(programCLI, "apply", "--base", strconv.Itoa(h.revision), file); err != nil {
		return errors.Wrap(err, "pearyard apply")
	}
	h.revision++
	return nil
}

// generate implements the command
//
//	generate NAME [tokens=400] [key=K] [router=1] [prompt=TEXT] [stream=true] [patience=2.5s]
//
// which starts a generation. router is the number of the first router, and patience is the
// caller's idle timeout. With stream=false the caller sends one non-streaming request to
// that router and doesn't resume.
func (h *harness) generate(_ *testscript.TestScript, args []string) error {
	if len(args) == 0 || h.callers[args[0]] != nil {
		return errors.New("usage: generate NAME [OPTION=VALUE...], with an unused NAME")
	}
	o, err := parseOptions(args[1:], "tokens", "key", "router", "prompt", "stream", "patience")
	if err != nil {
		return err
	}
	params := generationParams{prompt: "a lifting plan for " + args[0], tokens: 400, key: o["key"], firstRouter: 1, stream: o["stream"] != "false", idleTimeout: callerIdleTimeout}
	if prompt, ok := o["prompt"]; ok {
		params.prompt = prompt
	}
	if err := o.setInt("tokens", &params.tokens); err != nil {
		return err
	}
	if err := o.setInt("router", &params.firstRouter); err != nil {
		return err
	}
	if err := o.setDuration("patience", &params.idleTimeout); err != nil {
		return err
	}
	h.callers[args[0]] = generate(h.ctx, h.site.callerAddresses(), params)
	return nil
}

// callerAddresses returns the addresses of all routers for callers.
func (s *site) callerAddresses() []string {
	var out []string
	for i := range s.spec.routers {
		out = append(out, s.address(fromCallers, routerName(i+1)))
	}
	return out
}

// call implements `call NAME SERVICE PATH [key=K] [router=1]`, which starts a call of a
// plain service.
func (h *harness) call(_ *testscript.TestScript, args []string) error {
	if len(args) < 3 || h.callers[args[0]] != nil {
		return errors.New("usage: call NAME SERVICE PATH [OPTION=VALUE...], with an unused NAME")
	}
	o, err := parseOptions(args[3:], "key", "router")
	if err != nil {
		return err
	}
	router := 1
	if err := o.setInt("router", &router); err != nil {
		return err
	}
	h.callers[args[0]] = call(h.ctx, h.site.address(fromCallers, routerName(router)), args[1], args[2], o["key"])
	return nil
}

// when implements `when NAME token=100 COMMAND...`, which waits until the caller has
// received that many tokens and then runs the command.
func (h *harness) when(ts *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("usage: when NAME token=N COMMAND...")
	}
	c, err := h.caller(args[0])
	if err != nil {
		return err
	}
	o, err := parseOptions(args[1:2], "token")
	token := 0
	if err == nil {
		err = o.setInt("token", &token)
	}
	if err != nil {
		return err
	}
	err = waitFor(conditionTimeout, strings.Join(args[:2], " "), func() bool {
		_, seen := c.progress()
		return seen >= token || c.ended()
	})
	if err != nil {
		return err
	}
	if _, seen := c.progress(); seen < token {
		return errors.Errorf("%s ended after %d tokens: %v", args[0], seen, c.err)
	}
	run := Commands()[args[2]]
	if run == nil {
		return errors.Errorf("when: unknown command %q", args[2])
	}
	run(ts, false, args[3:])
	return nil
}

// name implements `name NEW PROCESS`, which sets an alias of a process or VM, so that a
// script can refer to it after it has stopped serving a caller.
func (h *harness) name(_ *testscript.TestScript, args []string) error {
	names, err := h.resolve(args[min(1, len(args)):])
	if err != nil {
		return err
	}
	if len(names) != 1 {
		return errors.New("usage: name NEW PROCESS")
	}
	h.aliases[args[0]] = names[0]
	return nil
}

// waitEnded implements `ended NAME...`, which waits until the callers or processes have
// ended.
func (h *harness) waitEnded(_ *testscript.TestScript, args []string) error {
	args, err := h.resolve(args)
	if err != nil {
		return err
	}
	for _, name := range args {
		var done <-chan struct{}
		if c := h.callers[name]; c != nil {
			done = c.done
		} else if p := h.site.processes[name]; p != nil {
			done = p.done
		} else {
			return errors.Errorf("unknown caller or process %q", name)
		}
		select {
		case <-done:
		case <-time.After(conditionTimeout):
			return errors.Errorf("%s did not end within %s", name, conditionTimeout)
		}
	}
	return nil
}

// eventually implements `eventually PATTERN PROGRAM ARGS...`, which runs a program
// repeatedly until its output matches.
func (h *harness) eventually(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: eventually PATTERN PROGRAM ARGS...")
	}
	pattern, err := regexp.Compile(args[0])
	if err != nil {
		return err
	}
	var out string
	err = waitFor(conditionTimeout, strings.Join(args, " "), func() bool {
		cmd, err := h.operatorCommand(ts, args[1], args[2:])
		if err != nil {
			return false
		}
		raw, _ := cmd.CombinedOutput()
		out = string(raw)
		return pattern.MatchString(out)
	})
	return errors.Wrapf(err, "last output: %s", out)
}

// operatorCommand returns an operator's command that can run concurrently with others,
// unlike those run by TestScript.Exec.
func (h *harness) operatorCommand(ts *testscript.TestScript, program string, args []string) (*exec.Cmd, error) {
	binary, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(h.ctx, binary, args...)
	cmd.Args[0] = program
	cmd.Env = append(cmd.Environ(), cli.EnvAdmin+"="+ts.Getenv(cli.EnvAdmin), cli.EnvToken+"="+ts.Getenv(cli.EnvToken))
	cmd.Dir = ts.MkAbs(".")
	return cmd, nil
}
