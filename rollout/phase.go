package rollout

// Phase is how far a roll-out has come, as far as a process knows.
type Phase uint8

// The phases. A larger one replaces a smaller one; Completed and Reverted are final.
const (
	// Unknown: no decider has told this process of the roll-out. The new version gets no
	// requests.
	Unknown Phase = iota
	// Trial: a part of the allowed share of requests goes to the new version.
	Trial
	// Handover: the new version is proven. New requests go there as far as the allowed
	// share permits, so that little runs on the old servers when they are stopped.
	Handover
	// Stopped: the new version is bad and gets no more requests. The outcome is not in the
	// store yet.
	Stopped
	// Completed: the outcome is in the store, and the servers of the old version are being
	// stopped.
	Completed
	// Reverted: the outcome is in the store, and the servers of the new version will drain.
	Reverted
)

var phaseNames = [...]string{"unknown", "trial", "handover", "stopped", "completed", "reverted"}

// String returns the phase's name in logs and metrics.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "invalid"
}

// Valid reports whether p is one of the phases. Phases arrive in datagrams.
func (p Phase) Valid() bool { return int(p) < len(phaseNames) }

// Final reports whether the phase is an outcome. An outcome is never replaced.
func (p Phase) Final() bool { return p == Completed || p == Reverted }

// next returns the phase that is known after p has been known and q is told.
func (p Phase) next(q Phase) Phase {
	if p.Final() || q <= p {
		return p
	}
	return q
}
