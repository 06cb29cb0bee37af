package fleet

import "time"

// share is a Duty for one subject.
type share struct {
	duty    *Duty
	subject Subject
}

// For returns the duty's part for one subject, as followers know it.
func (d *Duty) For(s Subject) *share { return &share{duty: d, subject: s} }

// Covered implements follow.Share.
func (s *share) Covered() time.Duration { return s.duty.Covered(s.subject) }

// Wait implements follow.Share.
func (s *share) Wait(alone time.Duration) time.Duration {
	if s.duty.Alone() {
		return alone
	}
	return ReaderWait
}

// Read implements follow.Share.
func (s *share) Read(age time.Duration) { s.duty.Read(s.subject, age) }

// Failed implements follow.Share.
func (s *share) Failed() { s.duty.Failed(s.subject) }

// News implements follow.Share.
func (s *share) News() <-chan struct{} { return s.duty.news[s.subject] }
