package exchange

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
)

// sends are the servers to which a request has been sent.
type sends struct {
	mu sync.Mutex
	to map[directory.Start]bool // nil: none
}

// record records a send and reports whether the server had one before.
func (s *sends) record(to directory.Start) (again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	again = s.to[to]
	if s.to == nil {
		s.to = map[directory.Start]bool{}
	}
	s.to[to] = true
	return again
}

// forget removes a server's only send, which has not reached it.
func (s *sends) forget(to directory.Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.to, to)
}

// sendRecorder is a Backend that records to which servers requests are sent, and which answer.
type sendRecorder struct{ Backend }

// Open implements Backend.
func (b sendRecorder) Open(ctx context.Context, a *Attempt) (*Answer, error) {
	a.SentBefore = a.Request.sends.record(a.Server.Start)
	sentAt := time.Now()
	answer, err := b.Backend.Open(ctx, a)
	if err == nil && answer.Status < http.StatusMultipleChoices { // signed by the server
		a.Server.RecordAnswer(sentAt)
	}
	if !a.SentBefore && unreached(err) {
		a.Request.sends.forget(a.Server.Start)
	}
	if isOwnAnswer(err) {
		a.Server.MarkReached(time.Now())
	}
	return answer, err
}

// isOwnAnswer reports whether an attempt that ended with err got an answer of the server itself.
func isOwnAnswer(err error) bool {
	var notRun *NotRunError
	return err == nil || errors.As(err, &notRun) && notRun.Reason == Busy
}
