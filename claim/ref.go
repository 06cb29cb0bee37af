package claim

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrMalformedRef reports a claim reference that this system didn't write.
var ErrMalformedRef = errors.New("claim: malformed reference")

// Ref is what routers and sidecars call a claim between them (field `claim` of
// CallRequest and VoidRequest): the row's key and the attempt's deadline. The
// deadline goes with each question because a sidecar that forgets old attempts
// can tell by it whether it may have forgotten this one (gate.Memory).
type Ref struct {
	Key      string
	Deadline time.Time // to the millisecond
}

// String returns `<key>@<deadline in Unix milliseconds>`.
func (r Ref) String() string {
	return r.Key + "@" + strconv.FormatInt(r.Deadline.UnixMilli(), 10)
}

// ParseRef is the inverse of Ref.String.
func ParseRef(s string) (Ref, error) {
	at := strings.LastIndexByte(s, '@')
	if at <= 0 {
		return Ref{}, ErrMalformedRef
	}
	ms, err := strconv.ParseInt(s[at+1:], 10, 64)
	if err != nil || ms <= 0 {
		return Ref{}, ErrMalformedRef
	}
	return Ref{Key: s[:at], Deadline: time.UnixMilli(ms)}, nil
}
