package nursery

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// plain answers a request that isn't a stream. It drops LostAnswersPerMille of each
// thousand responses, evenly spread.
func (s *Server) plain(w http.ResponseWriter, r *http.Request, e *engine) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(s.disturbed(s.slowed(plainDuration)))
	if lost := s.LostAnswersPerMille.Load(); lost > 0 && s.plainAnswers.Add(1)*lost%1000 < lost {
		s.cloud.Ledger.recordEnd(r.Header.Get("Attempt-Id"), Interrupted)
		panic(http.ErrAbortHandler)
	}
	answer := PlainAnswer(r.RequestURI, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	s.reportLoad(w, e)
	if _, err := io.WriteString(w, answer); err != nil {
		s.recordDisconnect(r)
		return
	}
	s.cloud.Ledger.recordEnd(r.Header.Get("Attempt-Id"), Completed)
}

// PlainAnswer returns the body of the response to a plain request.
func PlainAnswer(target string, body []byte) string {
	if strings.HasPrefix(target, "/large/") {
		return strings.Repeat("x", LargeAnswerBytes)
	}
	return fmt.Sprintf("answer to %s of %d bytes", target, len(body))
}

// recordDisconnect records that a run ended because its connection closed.
func (s *Server) recordDisconnect(r *http.Request) {
	end := Abandoned
	if s.crashed.Load() {
		end = Interrupted
	}
	s.cloud.Ledger.recordEnd(r.Header.Get("Attempt-Id"), end)
}
