package scenario

import (
	"slices"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// kill: sigkill NAME...
func (b *bench) kill(_ *testscript.TestScript, args []string) error {
	all, err := b.members(args)
	if err != nil {
		return err
	}
	for _, p := range all {
		_ = p.cmd.Process.Kill() // all at once; those that have ended are well
	}
	for _, p := range all {
		<-p.done
	}
	return nil
}

// freeze: freeze NAME...; returns when they have stopped. A busy machine lets a
// process run on for a while after the signal.
func (b *bench) freeze(_ *testscript.TestScript, args []string) error {
	if err := b.signal(args, syscall.SIGSTOP); err != nil {
		return err
	}
	all, err := b.members(args)
	if err != nil {
		return err
	}
	return await(conditionTimeout, "frozen "+strings.Join(args, " "), func() bool {
		return !slices.ContainsFunc(all, func(p *process) bool { return p.running() && !p.stopped() })
	})
}

// thaw: thaw NAME...
func (b *bench) thaw(_ *testscript.TestScript, args []string) error {
	return b.signal(args, syscall.SIGCONT)
}

// term: term NAME...; begins a planned stop
func (b *bench) term(_ *testscript.TestScript, args []string) error {
	return b.signal(args, syscall.SIGTERM)
}

// stop: drain NAME...; the operators' command for a planned stop. (`stop` is
// testscript's own: it ends a script as passed, whatever comes after.)
func (b *bench) stop(ts *testscript.TestScript, args []string) error {
	names, err := b.resolve(args)
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

func (b *bench) signal(args []string, s syscall.Signal) error {
	all, err := b.members(args)
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

// restart: restart NAME...; starts what has ended, as a new incarnation
func (b *bench) restart(_ *testscript.TestScript, args []string) error {
	all, err := b.members(args)
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

// way finds the relay of `A B`. It resolves `sidecar-of NAME` on either side.
func (b *bench) way(args []string) (*relay, error) {
	names, err := b.resolve(args)
	if err != nil {
		return nil, err
	}
	r := b.site.relays[strings.Join(names, " ")]
	if r == nil || names[0] == fromHarness {
		return nil, errors.Errorf("no way %s", strings.Join(names, " "))
	}
	return r, nil
}

// cut: cut A B; nothing passes from A to B or back, and connections stay open
func (b *bench) cut(_ *testscript.TestScript, args []string) error {
	r, err := b.way(args)
	if err != nil {
		return err
	}
	r.setCut(true)
	return nil
}

// mend: mend A B; ends a cut or a hold, and what was sent meanwhile arrives
func (b *bench) mend(_ *testscript.TestScript, args []string) error {
	r, err := b.way(args)
	if err != nil {
		return err
	}
	r.setCut(false)
	return nil
}

// hold: hold A B TEXT; answers from B to A stop before TEXT
func (b *bench) hold(_ *testscript.TestScript, args []string) error {
	last := len(args) - 1
	r, err := b.way(args[:max(0, last)])
	if err != nil {
		return err
	}
	r.holdBefore(args[last])
	return nil
}

// held: held A B; waits until an answer has stopped at a hold
func (b *bench) held(_ *testscript.TestScript, args []string) error {
	r, err := b.way(args)
	if err != nil {
		return err
	}
	return await(conditionTimeout, "held "+strings.Join(args, " "), r.holds)
}

// fault: fault NAME JSON; sets faults of a stand-in
func (b *bench) fault(_ *testscript.TestScript, args []string) error {
	names, err := b.resolve(args)
	if err != nil || len(names) != 2 {
		return errors.Errorf("fault NAME JSON: %v", err)
	}
	return b.site.fault(names[0], names[1])
}
