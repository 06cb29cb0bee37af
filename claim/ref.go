package claim

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrMalformedRef reports a string that is not a claim reference.
var ErrMalformedRef = errors.New("claim: malformed reference")

// Ref identifies a claim in messages between routers and sidecars (field `claim`
// of CallRequest and VoidRequest): the row's key and the attempt's deadline. The
// deadline is included because a sidecar forgets old attempts and can tell from
// the deadline whether it may have forgotten this one (gate.AttemptState).
type Ref struct {
	Key      string
	Deadline time.Time // with millisecond precision
}

// String returns `<key>@<deadline in Unix milliseconds>`.
func (r Ref) String() string {
	return r.Key + "@" + strconv.FormatInt(r.Deadline.UnixMilli(), 10)
}

// ParseRef is the inverse of Ref.String. Its errors wrap ErrMalformedRef.
func ParseRef(s string) (Ref, error) {
	at := strings.LastIndexByte(s, '@')
	if at <= 0 {
		return Ref{}, errors.Wrapf(ErrMalformedRef, "parse %q", s)
	}
	ms, err := strconv.ParseInt(s[at+1:], 10, 64)
	if err != nil || ms <= 0 {
		return Ref{}, errors.Wrapf(ErrMalformedRef, "parse %q", s)
	}
	return Ref{Key: s[:at], Deadline: time.UnixMilli(ms)}, nil
}
