package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/plain"
	"github.com/pearyard/pearyard/types"
)

const (
	// KeyPrefix is the prefix of the table keys of claim rows.
	KeyPrefix = "claim/"
	// recordFormat is the row format that this release reads and writes.
	recordFormat = 1
	// keyHashBytes is how many bytes of the SHA-256 sum identify an idempotency
	// key. A collision would give one caller another's answer; 16 bytes make it
	// negligibly unlikely.
	keyHashBytes = 16
	// MaxSavedBody is the largest size, in bytes, of an answer's body that is kept
	// in a claim row.
	MaxSavedBody = 16 << 10
)

// ErrRecordFormat reports a claim row that this release can't read. Its key is
// not claimed again and the row is not used as an answer, since a router of a
// newer release may have written it.
var ErrRecordFormat = errors.New("claim: row in an unknown format")

// RecordState is the state of a claim row's attempt.
type RecordState string

// States of a claim row.
const (
	RecordClaimed   RecordState = "claimed"   // may have been dispatched; only its target can tell whether it ran
	RecordCompleted RecordState = "completed" // ran; the answer is saved, unless it was too large
	RecordVoided    RecordState = "voided"    // proven never to have run and never to run
	RecordUnknown   RecordState = "unknown"   // may have run; this can no longer be found out
)

// Target is the sidecar that may run an attempt, and its backend server.
type Target struct {
	BackendServer string            `json:"backend_server"`
	Process       types.ProcessID   `json:"process"`
	Address       string            `json:"address"`
	Incarnation   types.Incarnation `json:"incarnation"`
}

// Record is the value of a claim row.
type Record struct {
	Format      int               `json:"format"`
	State       RecordState       `json:"state"`
	Attempt     types.AttemptTag  `json:"attempt"`
	Router      types.ProcessID   `json:"router"` // that claimed the attempt
	Target      Target            `json:"target"`
	Deadline    time.Time         `json:"deadline"`
	Fingerprint types.Fingerprint `json:"fingerprint"`
	Answer      *plain.Answer     `json:"answer,omitempty"` // of a completed attempt, up to MaxSavedBody
}

// Encode returns the row's value.
func (r Record) Encode() ([]byte, error) {
	r.Format = recordFormat
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "claim: encode row")
}

// Decode reads a row's value.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(ErrRecordFormat, err.Error())
	}
	if r.Format != recordFormat {
		return Record{}, errors.Wrapf(ErrRecordFormat, "format %d", r.Format)
	}
	return r, nil
}

// withOutcome returns the record of the same attempt in a final state. It omits an
// answer whose body is larger than MaxSavedBody.
func (r Record) withOutcome(state RecordState, answer *plain.Answer) Record {
	r.State = state
	r.Answer = nil
	if answer != nil && len(answer.Body) <= MaxSavedBody {
		r.Answer = answer
	}
	return r
}

// Key returns the key of the claim row for an idempotency key.
func Key(service string, org types.Organisation, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	parts := []string{url.PathEscape(service), url.PathEscape(string(org)), hex.EncodeToString(sum[:keyHashBytes])}
	return KeyPrefix + strings.Join(parts, "/")
}
