package fleet

import "time"

// share is an Election for one subject.
type share struct {
	election *Election
	subject  Subject
}

// For returns the election's part for one subject, as followers know it.
func (e *Election) For(s Subject) *share { return &share{election: e, subject: s} }

// Delegated implements follow.Share.
func (s *share) Delegated() time.Duration { return s.election.Delegated(s.subject) }

// Wait implements follow.Share.
func (s *share) Wait(alone time.Duration) time.Duration {
	if s.election.Alone() {
		return alone
	}
	return pollTimeout
}

// Pause implements follow.Share.
func (s *share) Pause(d time.Duration, others bool) time.Duration { return s.election.Pause(d, others) }

// Read implements follow.Share.
func (s *share) Read(age time.Duration) { s.election.Read(s.subject, age) }

// Failed implements follow.Share.
func (s *share) Failed() { s.election.Failed(s.subject) }

// Updates implements follow.Share.
func (s *share) Updates() <-chan struct{} { return s.election.updates[s.subject] }
