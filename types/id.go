package types

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// RequestID identifies one request to its caller (header Pearyard-Request-Id).
type RequestID string

// Organisation is the name of the customer on whose behalf a request is made.
type Organisation string

// ProcessID identifies a router or sidecar. It stays the same when the process
// restarts.
type ProcessID string

// Zone is the name of an availability zone.
type Zone string

// Revision numbers the accepted versions of the operators' configuration. 0 means
// that none is known.
type Revision uint64

// Incarnation distinguishes the runs of one ProcessID. A later run has a larger
// incarnation.
type Incarnation uint64

// NewIncarnation returns the start time in nanoseconds, so that a restarted
// process has a larger incarnation without storing anything on disk.
func NewIncarnation(now time.Time) Incarnation { return Incarnation(now.UnixNano()) }

// Key identifies a request across routers. It is a hash of the organisation and
// the idempotency key. The rendezvous placement of journal peers depends only on
// it.
type Key uint64

// KeyOf returns the Key of an organisation's idempotency key.
func KeyOf(org Organisation, idempotencyKey string) Key {
	d := xxhash.New()
	_, _ = d.WriteString(string(org))
	_, _ = d.Write([]byte{0}) // separator, so that "a"+"bc" and "ab"+"c" differ
	_, _ = d.WriteString(idempotencyKey)
	return Key(d.Sum64())
}

// Fingerprint identifies the content of a request: its organisation and body. A
// request that is sent again under a new idempotency key keeps its fingerprint,
// so that crash suspicions and quarantines still apply to it.
type Fingerprint uint64

// FingerprintOf returns the Fingerprint of an organisation's request body.
func FingerprintOf(org Organisation, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(org))
	_, _ = d.Write([]byte{1})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// GenerationID identifies one generation. It contains the request's Key, so that
// any router can find the generation's journal peers from the id alone.
type GenerationID struct {
	Key  Key
	Salt uint32
}

// NewGenerationID returns a generation id with a random salt for a request key.
func NewGenerationID(key Key) GenerationID {
	return GenerationID{Key: key, Salt: randomUint32()}
}

// String returns the id as `<16 hex digits>-<8 hex digits>`.
func (g GenerationID) String() string { return fmt.Sprintf("%016x-%08x", uint64(g.Key), g.Salt) }

// ErrMalformedID is returned by the Parse functions for a string that isn't in the
// format of the identifier.
var ErrMalformedID = errors.New("malformed identifier")

// ParseGenerationID parses the result of GenerationID.String.
func ParseGenerationID(s string) (GenerationID, error) {
	key, salt, ok := strings.Cut(s, "-")
	if !ok || len(key) != 16 || len(salt) != 8 {
		return GenerationID{}, ErrMalformedID
	}
	k, err := strconv.ParseUint(key, 16, 64)
	if err != nil {
		return GenerationID{}, ErrMalformedID
	}
	n, err := strconv.ParseUint(salt, 16, 32)
	if err != nil {
		return GenerationID{}, ErrMalformedID
	}
	return GenerationID{Key: Key(k), Salt: uint32(n)}, nil
}

// AttemptTag identifies one attempt of a generation. It is random instead of a
// counter because two routers that resume the same generation concurrently must
// not use the same tag.
type AttemptTag uint32

// NewAttemptTag returns a random tag. It is never 0, which means "no attempt".
func NewAttemptTag() AttemptTag {
	for {
		if tag := AttemptTag(randomUint32()); tag != 0 {
			return tag
		}
	}
}

// EventID is the SSE id of a token event. It identifies the generation, the
// attempt that produced the token and the token's position in the answer.
type EventID struct {
	Generation GenerationID
	Attempt    AttemptTag
	Index      int // counted from 0
}

// String returns `<generation>-<attempt>.<index>`.
func (e EventID) String() string {
	return fmt.Sprintf("%s-%08x.%d", e.Generation, uint32(e.Attempt), e.Index)
}

// ParseEventID parses the result of EventID.String.
func ParseEventID(s string) (EventID, error) {
	head, index, ok := strings.Cut(s, ".")
	dash := strings.LastIndexByte(head, '-')
	if !ok || dash < 0 || len(head)-dash-1 != 8 {
		return EventID{}, ErrMalformedID
	}
	gen, err := ParseGenerationID(head[:dash])
	if err != nil {
		return EventID{}, err
	}
	tag, err := strconv.ParseUint(head[dash+1:], 16, 32)
	if err != nil || tag == 0 {
		return EventID{}, ErrMalformedID
	}
	n, err := strconv.ParseUint(index, 10, 31)
	if err != nil {
		return EventID{}, ErrMalformedID
	}
	return EventID{Generation: gen, Attempt: AttemptTag(tag), Index: int(n)}, nil
}

// NewRequestID returns a random request id.
func NewRequestID() RequestID {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return RequestID("req-" + hex.EncodeToString(b[:]))
}

func randomUint32() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}
