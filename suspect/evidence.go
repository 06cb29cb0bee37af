package suspect

import (
	"slices"
	"time"

	"github.com/pearyard/pearyard/types"
)

// ProvenTokens is the number of tokens after which a request counts as proven on
// an engine, so that the engine's death is only weak evidence against it. A
// request that crashes engines does so during prefill or soon after. If a request
// has run for a while when the engine dies, more likely another request crashed the
// engine, or the engine was killed.
const ProvenTokens = 8

// strongWeight is the number of deaths that the ledger counts for a death with
// strong evidence. A death with weak evidence counts as one.
const strongWeight = 2

// Configure sets the number of engines that a request may crash and the length of
// its first quarantine, for a ledger whose deaths are recorded by
// RecordWeightedDeath. From then on, only suspects with strong evidence are held
// back. Otherwise the many requests that merely ran on the same engine as the one
// that crashed it would wait for each other until the end of long generations. Existing quarantines keep
// their end.
func (l *Ledger) Configure(engines int, quarantine time.Duration) {
	l.running.holdThreshold.Store(strongWeight)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.policy.limit = LedgerLimit(engines)
	l.policy.quarantine = quarantine
}

// LedgerLimit returns Options.Limit for a ledger whose deaths are recorded by
// RecordWeightedDeath, given the number of engines that a request may crash.
func LedgerLimit(engines int) int { return engines * strongWeight }

// RecordWeightedDeath records that an engine died while it ran a request. The
// evidence is strong, and counts twice as much, if the request was not proven
// there. So a long generation isn't quarantined when its engines are killed twice,
// while a request that crashes engines immediately crashes no more than the limit.
func (l *Ledger) RecordWeightedDeath(death string, fp types.Fingerprint, proven bool) {
	l.recordDeaths(weightedIDs(death, proven), []types.Fingerprint{fp})
}

// ExcuseDeath records that an engine died while it ran a request and that this does not
// count against the request. RecordWeightedDeath for the same death makes it count. Requests
// that can't be accused are passed over: the loss of a zone ends many streams, and all
// processes would be told of each.
func (l *Ledger) ExcuseDeath(death string, fp types.Fingerprint, proven bool, why Excuse) {
	at := l.opts.Now().Round(0)
	if l.completions.since(fp, at.Add(-accusationWindow)) {
		return
	}
	entry := Entry{Fingerprint: fp}
	for _, id := range weightedIDs(death, proven) {
		entry.Deaths = append(entry.Deaths, Death{ID: id, At: at, Excuse: why})
	}
	l.apply([]Entry{entry}, true)
}

// RevokeExcuses makes the deaths count that are excused for one of these reasons.
func (l *Ledger) RevokeExcuses(fp types.Fingerprint, reasons ...Excuse) {
	oldest := l.opts.Now().Add(-l.opts.Window)
	entry := Entry{Fingerprint: fp}
	l.mu.Lock()
	if r := l.records[fp]; r != nil {
		for _, d := range r.deaths {
			if slices.Contains(reasons, d.Excuse) && d.At.After(oldest) {
				d.Excuse = NoExcuse
				entry.Deaths = append(entry.Deaths, d)
			}
		}
	}
	l.mu.Unlock()
	if len(entry.Deaths) > 0 {
		l.apply([]Entry{entry}, true)
	}
}

// unprovenSuffix makes the second id of a death with strong evidence.
const unprovenSuffix = "/unproven"

// weightedIDs returns the ids under which a death is held against a request: as many as
// it counts.
func weightedIDs(death string, proven bool) []string {
	if proven {
		return []string{death}
	}
	return []string{death, death + unprovenSuffix}
}

// StrongEvidence reports whether there is strong evidence against the request: at
// least one engine died on which it was not proven. Such a request must be kept
// away from other suspects.
func (v Verdict) StrongEvidence() bool { return v.State == Suspect && v.Deaths >= strongWeight }
