package findings

import (
	"fmt"
	"io"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
)

// Syntax checks that a document is one JSON value and that no object names a
// member twice, which decoders settle silently by taking the last one.
func Syntax(raw []byte) List {
	var list List
	lines := newLineIndex(raw)
	dec := newDecoder(raw)
	names := nameSets{}
	end, whole := 0, false
	for {
		token, err := dec.ReadToken()
		if errors.Is(err, io.EOF) && whole {
			return list
		}
		if err == nil && whole {
			list.at(lines, tokenStart(raw, end), "", "text after the end of the document")
			return list
		}
		if err != nil {
			list.syntaxError(lines, dec, err)
			return list
		}
		start := tokenStart(raw, end)
		end = int(dec.InputOffset())
		whole = dec.StackDepth() == 0
		if token.Kind() == '{' {
			names.open(dec.StackDepth())
		}
		if isName(dec, token) && !names.add(dec.StackDepth(), token.String()) {
			list.at(lines, start, string(dec.StackPointer()), fmt.Sprintf("name %q given twice in one object", token.String()))
		}
	}
}

func (l *List) syntaxError(lines lineIndex, dec *jsontext.Decoder, err error) {
	offset, message := int(dec.InputOffset()), err.Error()
	var syntactic *jsontext.SyntacticError
	switch {
	case errors.Is(err, io.EOF):
		message = "the document is empty"
	case errors.Is(err, io.ErrUnexpectedEOF):
		offset, message = len(lines.raw), "the document ends too early"
	case errors.As(err, &syntactic):
		offset, message = int(syntactic.ByteOffset), syntactic.Err.Error()
	}
	l.at(lines, offset, "", "not JSON: "+message)
}

func (l *List) at(lines lineIndex, offset int, pointer, message string) {
	line, column := lines.place(offset)
	*l = append(*l, Finding{Severity: Error, Pointer: pointer, Line: line, Column: column, Message: message})
}

// nameSets holds the names seen in each object on the way from the root; the
// sets are reused, since a large document has very many objects.
type nameSets map[int]map[string]struct{}

func (n nameSets) open(depth int) {
	if n[depth] == nil {
		n[depth] = map[string]struct{}{}
		return
	}
	clear(n[depth])
}

// add reports whether the name is new in the object at this depth.
func (n nameSets) add(depth int, name string) bool {
	if _, ok := n[depth][name]; ok {
		return false
	}
	n[depth][name] = struct{}{}
	return true
}
