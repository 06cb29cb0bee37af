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

// RequestID names one request as its caller sees it (Pearyard-Request-Id).
type RequestID string

// Organisation names the customer that a request is made for.
type Organisation string

// ProcessID names a router or sidecar slot; it survives a restart of the process.
type ProcessID string

// Zone names an availability zone.
type Zone string

// Revision counts accepted operators' texts; 0 means that none is known.
type Revision uint64

// Incarnation tells two runs of one ProcessID apart; a later run has a larger one.
type Incarnation uint64

// NewIncarnation returns the start time in nanoseconds, so that a restarted
// process always has a larger incarnation without keeping anything on disk.
func NewIncarnation(now time.Time) Incarnation { return Incarnation(now.UnixNano()) }

// Key identifies a request across routers: a hash of organisation and
// idempotency key. Rendezvous placement of journal peers depends on it alone.
type Key uint64

// KeyOf hashes an organisation and its idempotency key.
func KeyOf(org Organisation, idempotencyKey string) Key {
	d := xxhash.New()
	_, _ = d.WriteString(string(org))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(idempotencyKey)
	return Key(d.Sum64())
}

// Fingerprint identifies the content of a request (organisation and body), so
// that sending a body again under a new idempotency key doesn't launder it.
type Fingerprint uint64

// FingerprintOf hashes an organisation and a request body.
func FingerprintOf(org Organisation, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(org))
	_, _ = d.Write([]byte{1})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// GenerationID names one generation. It begins with the request's Key, so that
// any router finds the generation's journal peers from the id alone.
type GenerationID struct {
	Key  Key
	Salt uint32
}

// NewGenerationID draws a new generation id for a request key.
func NewGenerationID(key Key) GenerationID {
	return GenerationID{Key: key, Salt: randomUint32()}
}

// String returns the id as `<16 hex digits>-<8 hex digits>`.
func (g GenerationID) String() string { return fmt.Sprintf("%016x-%08x", uint64(g.Key), g.Salt) }

// ErrMalformedID reports an identifier that was not produced by this system.
var ErrMalformedID = errors.New("malformed identifier")

// ParseGenerationID is the inverse of GenerationID.String.
func ParseGenerationID(s string) (GenerationID, error) {
	key, salt, ok := strings.Cut(s, "-")
	if !ok || len(key) != 16 || len(salt) != 8 {
		return GenerationID{}, ErrMalformedID
	}
	k, err := strconv.ParseUint(key, 16, 64)
	if err != nil {
		return GenerationID{}, ErrMalformedID
	}
	s32, err := strconv.ParseUint(salt, 16, 32)
	if err != nil {
		return GenerationID{}, ErrMalformedID
	}
	return GenerationID{Key: Key(k), Salt: uint32(s32)}, nil
}

// AttemptTag names one attempt of a generation. It is random, not a counter:
// two routers that resume the same generation at once must not draw the same tag.
type AttemptTag uint32

// NewAttemptTag draws a tag; it is never 0, which stands for "no attempt".
func NewAttemptTag() AttemptTag {
	for {
		if tag := AttemptTag(randomUint32()); tag != 0 {
			return tag
		}
	}
}

// EventID is the SSE id of one token event: which attempt of which generation
// produced the token, and the token's index in the answer (from 0).
type EventID struct {
	Generation GenerationID
	Attempt    AttemptTag
	Index      int
}

// String returns `<generation>-<attempt>.<index>`.
func (e EventID) String() string {
	return fmt.Sprintf("%s-%08x.%d", e.Generation, uint32(e.Attempt), e.Index)
}

// ParseEventID is the inverse of EventID.String.
func ParseEventID(s string) (EventID, error) {
	head, index, ok := strings.Cut(s, ".")
	cut := strings.LastIndexByte(head, '-')
	if !ok || cut < 0 || len(head)-cut-1 != 8 {
		return EventID{}, ErrMalformedID
	}
	gen, err := ParseGenerationID(head[:cut])
	if err != nil {
		return EventID{}, err
	}
	tag, err := strconv.ParseUint(head[cut+1:], 16, 32)
	if err != nil || tag == 0 {
		return EventID{}, ErrMalformedID
	}
	n, err := strconv.ParseUint(index, 10, 31)
	if err != nil {
		return EventID{}, ErrMalformedID
	}
	return EventID{Generation: gen, Attempt: AttemptTag(tag), Index: int(n)}, nil
}

// NewRequestID draws a request id.
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
