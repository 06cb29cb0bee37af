package text

import (
	"encoding/json"
	"math"
)

// Defaults of optional fields.
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

// newConfig returns the configuration to decode into: an absent field keeps its default.
func newConfig() *Config {
	return &Config{
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

// UnmarshalJSON sets the retry budget's default before decoding, because 0 is a
// valid value: no retries.
func (s *Service) UnmarshalJSON(raw []byte) error {
	type plain Service
	p := plain{RetryBudget: DefaultRetryBudget}
	err := json.Unmarshal(raw, &p)
	*s = Service(p)
	return err
}

// setDefaults sets the defaults of fields whose zero value means absent, and the
// service names of the backend servers.
func (c *Config) setDefaults() {
	for i := range c.Services {
		c.Services[i].setDefaults()
	}
	for i := range c.Organisations {
		c.Organisations[i].setDefaults()
	}
}

func (s *Service) setDefaults() {
	if s.Calls == "" {
		s.Calls = defaultCalls(s.Kind)
	}
	for i := range s.BackendServers {
		s.BackendServers[i].Service = s.Name
	}
}

// defaultCalls is conservative: without a setting, only generations may be run again.
func defaultCalls(kind Kind) Calls {
	if kind == KindModel {
		return CallsRepeatable
	}
	return CallsAtMostOnce
}

func (o *Organisation) setDefaults() {
	if o.Weight == 0 {
		o.Weight = DefaultWeight
	}
	if o.Limits.Burst == 0 && o.Limits.RequestsPerSecond > 0 {
		o.Limits.Burst = max(1, int(math.Ceil(o.Limits.RequestsPerSecond)))
	}
}

// DefaultRecovery returns the recovery settings of a configuration without any. A
// process that has no configuration yet uses them.
func DefaultRecovery() Recovery { return newConfig().Recovery }

// DefaultLimits returns the limits of a configuration without any.
func DefaultLimits() Limits { return newConfig().Limits }
