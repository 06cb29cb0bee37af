package measure

import (
	"syscall"
)

// Cause is the kind of loss that a run of a measurement simulates.
type Cause string

// Causes of a loss that can be measured.
const (
	CauseNone          Cause = "none"
	CauseEngineKilled  Cause = "engine-killed"
	CauseEngineFrozen  Cause = "engine-frozen"
	CauseVMFrozen      Cause = "vm-frozen" // engine and sidecar
	CauseVMKilled      Cause = "vm-killed" // engine and sidecar
	CauseCut           Cause = "cut"       // the network to the sidecar forwards nothing
	CauseSidecarKilled Cause = "sidecar-killed"
	CauseRouterKilled  Cause = "router-killed"
	CausePlannedStop   Cause = "planned-stop"         // SIGTERM to the sidecar
	CauseTenthKilled   Cause = "tenth-killed"         // a tenth of the engines
	CauseVMAndRouter   Cause = "vm-and-router-killed" // leaves the tokens with the journal peers only
)

// Causes lists all causes.
var Causes = []Cause{CauseEngineKilled, CauseEngineFrozen, CauseVMFrozen, CauseVMKilled, CauseCut,
	CauseSidecarKilled, CauseRouterKilled, CausePlannedStop, CauseTenthKilled, CauseVMAndRouter, CauseNone}

// latencyTargets are the upper limits for the resume latency at p99, in milliseconds.
// That of a killed engine excludes the prefill time of the stand-in, and that of a killed
// router starts when the caller has reconnected. A cause without a target is only measured.
var latencyTargets = map[Cause]float64{
	CauseEngineKilled: 50, CauseEngineFrozen: 1500, CauseVMFrozen: 1500, CauseCut: 1500,
	CauseRouterKilled: 150, CauseTenthKilled: 5000,
}

// causeLoss causes the loss, at the first backend server or the first router.
func (s *site) causeLoss(c Cause) error {
	victim := s.backends[0]
	switch c {
	case CauseEngineKilled:
		return victim.engine.signal(syscall.SIGKILL)
	case CauseEngineFrozen:
		return victim.engine.signal(syscall.SIGSTOP)
	case CauseVMFrozen:
		return victim.signal(syscall.SIGSTOP)
	case CauseVMKilled:
		return victim.signal(syscall.SIGKILL)
	case CauseVMAndRouter:
		if err := s.routers[0].signal(syscall.SIGKILL); err != nil {
			return err
		}
		return victim.signal(syscall.SIGKILL)
	case CauseCut:
		victim.relay.set(func() { victim.relay.cut = true })
	case CauseSidecarKilled:
		return victim.sidecar.signal(syscall.SIGKILL)
	case CauseRouterKilled:
		return s.routers[0].signal(syscall.SIGKILL)
	case CausePlannedStop:
		return victim.sidecar.signal(syscall.SIGTERM)
	case CauseTenthKilled:
		return s.killTenth()
	}
	return nil
}

// killTenth kills a tenth of the engines, at least two, one after the other
// without a pause.
func (s *site) killTenth() error {
	for i := range max(2, len(s.backends)/10) {
		if err := s.backends[i].engine.signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the engine and the sidecar of a VM.
func (b *backend) signal(sig syscall.Signal) error {
	if err := b.engine.signal(sig); err != nil {
		return err
	}
	return b.sidecar.signal(sig)
}

// undoLoss continues the processes and reopens the relays that a loss has frozen or cut.
func (s *site) undoLoss() {
	for _, b := range s.backends {
		for _, p := range []*process{b.engine, b.sidecar} {
			if p.running() {
				_ = p.signal(syscall.SIGCONT)
			}
		}
		if b.relay != nil {
			b.relay.set(func() { b.relay.cut = false })
		}
	}
}

// killsEngines reports whether the cause kills engines, so that their counters are lost.
func (c Cause) killsEngines() bool {
	return c == CauseEngineKilled || c == CauseVMKilled || c == CauseTenthKilled || c == CauseVMAndRouter
}
