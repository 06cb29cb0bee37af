package router

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pearyard/pearyard/types"
)

// eventEncoder encodes the events of one answer's tokens. From token to token only
// the index in the event id and the text change; marshalling the rest for each token
// was a large part of a router's cost per token.
type eventEncoder struct {
	prefix, suffix []byte           // the JSON around the text
	idPrefix       []byte           // the id line up to the index
	attempt        types.AttemptTag // that idPrefix is for
}

// emptyText marks the position of the text. No JSON string contains these bytes,
// since quotes in a string are escaped.
var emptyText = []byte(`:""`)

// newEventEncoder splits the event of an empty text.
func newEventEncoder(builder *bodyBuilder) eventEncoder {
	encoded, _ := json.Marshal(builder.chunk("", nil))
	at := bytes.LastIndex(encoded, emptyText) + 1
	return eventEncoder{prefix: encoded[:at:at], suffix: encoded[at+2:]}
}

func (e *eventEncoder) append(buf []byte, id types.EventID, text string) []byte {
	if e.idPrefix == nil || e.attempt != id.Attempt {
		first := types.EventID{Generation: id.Generation, Attempt: id.Attempt}.String()
		e.idPrefix = append([]byte("id: "), first[:len(first)-1]...) // without the index, 0
		e.attempt = id.Attempt
	}
	buf = append(buf, e.idPrefix...)
	buf = strconv.AppendInt(buf, int64(id.Index), 10)
	buf = append(buf, "\ndata: "...)
	buf = append(buf, e.prefix...)
	buf = appendJSONString(buf, text)
	buf = append(buf, e.suffix...)
	return append(buf, "\n\n"...)
}

// appendJSONString appends text as json.Marshal encodes it.
func appendJSONString(buf []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			encoded, _ := json.Marshal(text)
			return append(buf, encoded...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, text...)
	return append(buf, '"')
}
