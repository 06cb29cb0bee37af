package streampb

import (
	"bufio"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/pearyard/pearyard/types"
)

// Paths of the token streams; bodies are varint-delimited protobuf messages.
const (
	PathGenerate = "/stream/generate"
	PathAttach   = "/stream/attach"
)

// HeartbeatInterval is how often a sidecar writes a heartbeat to a stream. A
// router gives up a stream that is silent for several of them.
const HeartbeatInterval = 200 * time.Millisecond

// MaxMessageBytes bounds one message of a stream; a larger one is an error.
const MaxMessageBytes = 64 << 20

// Reader reads delimited messages.
type Reader struct{ r *bufio.Reader }

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Read reads the next message; io.EOF means that the stream ended between messages.
func (r *Reader) Read(m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	return opts.UnmarshalFrom(r.r, m)
}

// Write writes one delimited message.
func Write(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// FromTokens converts tokens to their wire form.
func FromTokens(tokens []types.Token) []*Token {
	out := make([]*Token, len(tokens))
	backing := make([]Token, len(tokens))
	for i, t := range tokens {
		backing[i].Id = t.ID
		backing[i].Text = t.Text
		out[i] = &backing[i]
	}
	return out
}

// ToTokens is the inverse of FromTokens.
func ToTokens(tokens []*Token) []types.Token {
	out := make([]types.Token, len(tokens))
	for i, t := range tokens {
		out[i] = types.Token{ID: t.GetId(), Text: t.GetText()}
	}
	return out
}

// FromLineage converts a lineage to its wire form.
func FromLineage(lineage types.Lineage) []*Segment {
	out := make([]*Segment, len(lineage))
	for i, s := range lineage {
		out[i] = &Segment{Attempt: uint32(s.Attempt), From: uint32(s.From)}
	}
	return out
}

// ToLineage is the inverse of FromLineage.
func ToLineage(segments []*Segment) types.Lineage {
	out := make(types.Lineage, len(segments))
	for i, s := range segments {
		out[i] = types.Segment{Attempt: types.AttemptTag(s.GetAttempt()), From: int(s.GetFrom())}
	}
	return out
}
