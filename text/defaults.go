package text

import (
	"encoding/json"
	"math"
)

// Defaults of the fields that an operator may leave out.
const (
	DefaultRetryBudget        = 0.1
	DefaultWeight             = 1
	DefaultJournalAfterMillis = 2000
	DefaultJournalPeers       = 1
	DefaultJournalBatchMillis = 100
	DefaultSilenceMillis      = 1000
	DefaultRouterGraceMillis  = 10_000
	DefaultRetainMillis       = 60_000
	DefaultMaxResumes         = 8
	DefaultSuspicionLimit     = 2
	DefaultQuarantineSeconds  = 600
	DefaultMaxBodyBytes       = 8 << 20
	DefaultMaxTokens          = 32_768
	DefaultDeadlineSeconds    = 1800
)

// newText returns a text that decoding fills: a field that is absent keeps its default.
func newText() *Text {
	return &Text{
		Recovery: Recovery{
			JournalAfterMillis: DefaultJournalAfterMillis,
			JournalPeers:       DefaultJournalPeers,
			JournalBatchMillis: DefaultJournalBatchMillis,
			SilenceMillis:      DefaultSilenceMillis,
			RouterGraceMillis:  DefaultRouterGraceMillis,
			RetainMillis:       DefaultRetainMillis,
			MaxResumes:         DefaultMaxResumes,
			SuspicionLimit:     DefaultSuspicionLimit,
			QuarantineSeconds:  DefaultQuarantineSeconds,
		},
		Limits: Limits{
			MaxBodyBytes:    DefaultMaxBodyBytes,
			MaxTokens:       DefaultMaxTokens,
			DeadlineSeconds: DefaultDeadlineSeconds,
		},
	}
}

// UnmarshalJSON sets the retry budget's default before decoding, since 0 is a
// value of its own: no retries.
func (s *Service) UnmarshalJSON(raw []byte) error {
	type plain Service
	p := plain{RetryBudget: DefaultRetryBudget}
	err := json.Unmarshal(raw, &p)
	*s = Service(p)
	return err
}

// fill sets the defaults of fields whose zero value means absent.
func (t *Text) fill() {
	for i := range t.Services {
		t.Services[i].fill()
	}
	for i := range t.Organisations {
		t.Organisations[i].fill()
	}
}

func (s *Service) fill() {
	if s.Calls == "" {
		s.Calls = defaultCalls(s.Kind)
	}
	for i := range s.BackendServers {
		s.BackendServers[i].Service = s.Name
	}
}

// defaultCalls takes the safe side: only generations may be run again unasked.
func defaultCalls(kind Kind) Calls {
	if kind == KindModel {
		return CallsRepeatable
	}
	return CallsAtMostOnce
}

func (o *Organisation) fill() {
	if o.Weight == 0 {
		o.Weight = DefaultWeight
	}
	if o.Limits.Burst == 0 && o.Limits.RequestsPerSecond > 0 {
		o.Limits.Burst = max(1, int(math.Ceil(o.Limits.RequestsPerSecond)))
	}
}

// DefaultRecovery returns the recovery dial of a text that leaves it out. A
// process that has no text yet goes by it.
func DefaultRecovery() Recovery { return newText().Recovery }

// DefaultLimits returns the limits of a text that leaves them out.
func DefaultLimits() Limits { return newText().Limits }
