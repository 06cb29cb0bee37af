package findings

import (
	"fmt"
	"io"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
)

// Syntax checks that a document is a single JSON value and that no object has two
// members of the same name: decoders would silently use the last one. Its findings
// have a line and column.
func Syntax(raw []byte) List {
	var list List
	lines := newLineIndex(raw)
	dec := newDecoder(raw)
	names := nameSets{}
	end, complete := 0, false
	for {
		token, err := dec.ReadToken()
		if errors.Is(err, io.EOF) && complete {
			return list
		}
		if err == nil && complete {
			list.addAt(lines, tokenStart(raw, end), "", "text after the end of the document")
			return list
		}
		if err != nil {
			list.syntaxError(lines, dec, err)
			return list
		}
		start := tokenStart(raw, end)
		end = int(dec.InputOffset())
		complete = dec.StackDepth() == 0
		if token.Kind() == '{' {
			names.open(dec.StackDepth())
		}
		if isName(dec, token) && !names.add(dec.StackDepth(), token.String()) {
			list.addAt(lines, start, string(dec.StackPointer()), fmt.Sprintf("name %q given twice in one object", token.String()))
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
	l.addAt(lines, offset, "", "not JSON: "+message)
}

func (l *List) addAt(lines lineIndex, offset int, pointer, message string) {
	line, column := lines.position(offset)
	*l = append(*l, Finding{Severity: Error, Pointer: pointer, Line: line, Column: column, Message: message})
}

// nameSets holds, by depth, the names seen so far in each open object. The sets are
// reused, since a large document has very many objects.
type nameSets map[int]map[string]struct{}

// open starts an empty set for a new object at this depth.
func (n nameSets) open(depth int) {
	if n[depth] == nil {
		n[depth] = map[string]struct{}{}
		return
	}
	clear(n[depth])
}

// add adds a name to the open object at this depth and reports whether it is new.
func (n nameSets) add(depth int, name string) bool {
	if _, ok := n[depth][name]; ok {
		return false
	}
	n[depth][name] = struct{}{}
	return true
}
