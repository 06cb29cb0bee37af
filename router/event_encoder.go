package router

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pearyard/pearyard/types"
)

// eventEncoder writes the events of one answer's tokens. Of an event only the
// id's index and the text change from token to token; marshalling the rest anew
// for each was a large part of what a token costs a router.
type eventEncoder struct {
	before, after []byte           // JSON around the text
	head          []byte           // line of the id up to the index
	attempt       types.AttemptTag // that head was made for
}

// emptyText is where the text goes: no JSON string holds these bytes, since
// quotes within one are escaped.
var emptyText = []byte(`:""`)

// newEventEncoder takes the event of an empty text apart.
func newEventEncoder(s *shape) eventEncoder {
	encoded, _ := json.Marshal(s.chunk("", nil))
	at := bytes.LastIndex(encoded, emptyText) + 1
	return eventEncoder{before: encoded[:at:at], after: encoded[at+2:]}
}

func (e *eventEncoder) append(buf []byte, id types.EventID, text string) []byte {
	if e.head == nil || e.attempt != id.Attempt {
		first := types.EventID{Generation: id.Generation, Attempt: id.Attempt}.String()
		e.head = append([]byte("id: "), first[:len(first)-1]...)
		e.attempt = id.Attempt
	}
	buf = append(buf, e.head...)
	buf = strconv.AppendInt(buf, int64(id.Index), 10)
	buf = append(buf, "\ndata: "...)
	buf = append(buf, e.before...)
	buf = appendJSONString(buf, text)
	buf = append(buf, e.after...)
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
