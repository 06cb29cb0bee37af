package fleet

import "time"

// subjectShare is the part of an Election for one subject.
type subjectShare struct {
	election *Election
	subject  Subject
}

// For returns the part of the election for one subject, as a follow.Share.
func (e *Election) For(s Subject) *subjectShare { return &subjectShare{election: e, subject: s} }

// Delegated implements follow.Share.
func (s *subjectShare) Delegated() time.Duration { return s.election.Delegated(s.subject) }

// Wait implements follow.Share.
func (s *subjectShare) Wait(alone time.Duration) time.Duration {
	if s.election.AllWatch() {
		return alone
	}
	return pollTimeout
}

// Pause implements follow.Share.
func (s *subjectShare) Pause(d time.Duration, others bool) time.Duration {
	return s.election.Pause(d, others)
}

// Read implements follow.Share.
func (s *subjectShare) Read(age time.Duration) { s.election.Read(s.subject, age) }

// Failed implements follow.Share.
func (s *subjectShare) Failed() { s.election.Failed(s.subject) }

// Updates implements follow.Share.
func (s *subjectShare) Updates() <-chan struct{} { return s.election.updates[s.subject] }
