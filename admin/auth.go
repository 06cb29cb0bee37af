package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"
)

const bearerPrefix = "Bearer "

// requireToken refuses calls without the bearer token.
//
// Failure guarded against: guessing the token byte by byte from the time that a
// refusal takes. Both values are hashed, so that they have the same length, and
// compared in constant time.
func (s *Server) requireToken(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.opts.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		got := sha256.Sum256([]byte(token))
		if !ok || subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			s.opts.Recorder.Emit(eventUnauthorized, "remote", r.RemoteAddr, "path", r.URL.Path)
			s.metrics.unauthorized.Inc()
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("wrong or missing bearer token"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
