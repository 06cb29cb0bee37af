package scenario

import (
	"slices"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// kill implements `sigkill NAME...`, which kills processes and waits until they have
// ended.
func (h *harness) kill(_ *testscript.TestScript, args []string) error {
	all, err := h.processesOf(args)
	if err != nil {
		return err
	}
	for _, p := range all {
		_ = p.cmd.Process.Kill() // at the same time; an error means that the process has ended
	}
	for _, p := range all {
		<-p.done
	}
	return nil
}

// freeze implements `freeze NAME...`, which stops processes with SIGSTOP and waits until
// they have stopped: on a busy machine a process runs on for a while after the signal.
func (h *harness) freeze(_ *testscript.TestScript, args []string) error {
	if err := h.signal(args, syscall.SIGSTOP); err != nil {
		return err
	}
	all, err := h.processesOf(args)
	if err != nil {
		return err
	}
	return waitFor(conditionTimeout, "frozen "+strings.Join(args, " "), func() bool {
		return !slices.ContainsFunc(all, func(p *process) bool { return p.running() && !p.stopped() })
	})
}

// thaw implements `thaw NAME...`, which continues frozen processes.
func (h *harness) thaw(_ *testscript.TestScript, args []string) error {
	return h.signal(args, syscall.SIGCONT)
}

// term implements `term NAME...`, which begins a planned stop with SIGTERM.
func (h *harness) term(_ *testscript.TestScript, args []string) error {
	return h.signal(args, syscall.SIGTERM)
}

// drain implements `drain NAME...`, which begins a planned stop with the operators' command
// line. The command isn't named `stop` because testscript has a command of that name,
// which ends a script as passed without running the rest.
func (h *harness) drain(ts *testscript.TestScript, args []string) error {
	names, err := h.resolve(args)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := ts.Exec(programCLI, "stop", name); err != nil {
			return errors.Wrap(err, "pearyard stop")
		}
	}
	return nil
}

func (h *harness) signal(args []string, s syscall.Signal) error {
	all, err := h.processesOf(args)
	if err != nil {
		return err
	}
	for _, p := range all {
		if err := p.signal(s); err != nil {
			return err
		}
	}
	return nil
}

// restart implements `restart NAME...`, which starts processes as new incarnations. One
// that still runs is killed first.
func (h *harness) restart(_ *testscript.TestScript, args []string) error {
	all, err := h.processesOf(args)
	if err != nil {
		return err
	}
	for _, p := range all {
		p.kill()
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// relayBetween returns the relay from A to B. Both names are resolved, so either may be
// `sidecar-of NAME`.
func (h *harness) relayBetween(args []string) (*relay, error) {
	names, err := h.resolve(args)
	if err != nil {
		return nil, err
	}
	r := h.site.relays[strings.Join(names, " ")]
	if r == nil || names[0] == fromHarness {
		return nil, errors.Errorf("no connection %q that can be interrupted", strings.Join(names, " "))
	}
	return r, nil
}

// cut implements `cut A B`, after which no data passes from A to B or back while
// connections stay open.
func (h *harness) cut(_ *testscript.TestScript, args []string) error {
	r, err := h.relayBetween(args)
	if err != nil {
		return err
	}
	r.setCut(true)
	return nil
}

// mend implements `mend A B`, which ends a cut or a hold and delivers the data sent in the
// meantime.
func (h *harness) mend(_ *testscript.TestScript, args []string) error {
	r, err := h.relayBetween(args)
	if err != nil {
		return err
	}
	r.setCut(false)
	return nil
}

// hold implements `hold A B TEXT`, which stops each answer from B to A before TEXT.
func (h *harness) hold(_ *testscript.TestScript, args []string) error {
	last := len(args) - 1
	r, err := h.relayBetween(args[:max(0, last)])
	if err != nil {
		return err
	}
	r.holdBefore(args[last])
	return nil
}

// held implements `held A B`, which waits until a hold has stopped an answer.
func (h *harness) held(_ *testscript.TestScript, args []string) error {
	r, err := h.relayBetween(args)
	if err != nil {
		return err
	}
	return waitFor(conditionTimeout, "held "+strings.Join(args, " "), r.isHolding)
}

// fault implements `fault NAME JSON`, which sets the faults that a stand-in simulates.
func (h *harness) fault(_ *testscript.TestScript, args []string) error {
	names, err := h.resolve(args)
	if err != nil {
		return err
	}
	if len(names) != 2 {
		return errors.New("usage: fault NAME JSON")
	}
	return h.site.setFault(names[0], names[1])
}
