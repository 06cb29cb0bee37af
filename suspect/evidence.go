package suspect

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

// ProvenTokens is how many tokens a request must have produced on an engine for
// that engine's death to be weak evidence against it. A request that crashes
// engines does so when it is prefilled or soon after; one that has run well for
// some time more likely stood beside the cause, or the engine was killed.
const ProvenTokens = 8

// strongWeight is how many deaths in the ledger a death with strong evidence is
// noted as; one with weak evidence is noted as one.
const strongWeight = 2

// Configure sets how many engines a request may crash and how long its first
// quarantine lasts, for a ledger that is told of deaths by DeathOf. From then on
// only suspects with strong evidence are held back: the many that merely ran
// beside an engine's death would otherwise wait for each other to the end of
// long generations. A quarantine that stands keeps its end.
func (l *Ledger) Configure(engines int, quarantine time.Duration) {
	l.running.heldFrom.Store(strongWeight)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rule.limit = LedgerLimit(engines)
	l.rule.quarantine = quarantine
}

// LedgerLimit returns the Limit for a ledger that is told of deaths by DeathOf,
// from the number of engines that a request may crash.
func LedgerLimit(engines int) int { return engines * strongWeight }

// DeathOf notes that an engine died while it ran a request. Strong evidence
// (the request was not proven there) weighs twice as much as weak evidence, so
// that a long generation whose engines are killed twice isn't quarantined,
// while a request that crashes engines at once costs no more than the limit.
func (l *Ledger) DeathOf(death string, fp types.Fingerprint, proven bool) {
	fps := []types.Fingerprint{fp}
	l.Death(death, fps)
	if !proven {
		l.Death(death+"/unproven", fps)
	}
}

// Strong reports whether the request must be kept away from other suspects: at
// least one engine died before the request had proven itself there.
func (v Verdict) Strong() bool { return v.State == Suspect && v.Deaths >= strongWeight }
