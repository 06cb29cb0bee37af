package findings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// Pointer joins reference tokens (strings or numbers) to a JSON pointer.
func Pointer(tokens ...any) string {
	var b strings.Builder
	for _, token := range tokens {
		b.WriteByte('/')
		b.WriteString(escape(fmt.Sprint(token)))
	}
	return b.String()
}

var escaper = strings.NewReplacer("~", "~0", "/", "~1")

func escape(token string) string { return escaper.Replace(token) }

// Locate fills in the line and column of every finding that has none, and sorts
// the list. A pointer to an absent value gets the position of its nearest existing
// ancestor. The document is read only if there are findings to locate.
func Locate(raw []byte, list List) {
	wanted := wantedPointers(list)
	if len(wanted) > 0 {
		findOffsets(raw, wanted)
		lines := newLineIndex(raw)
		for i := range list {
			locate(&list[i], wanted, lines)
		}
	}
	list.Sort()
}

const notFound = -1

// wantedPointers returns a map of the pointers to locate and all their ancestors,
// with notFound as the offset of each.
func wantedPointers(list List) map[string]int {
	wanted := map[string]int{}
	for _, f := range list {
		if f.Line > 0 {
			continue
		}
		for p := f.Pointer; ; p = parent(p) {
			wanted[p] = notFound
			if p == "" {
				break
			}
		}
	}
	return wanted
}

func parent(pointer string) string {
	slash := strings.LastIndexByte(pointer, '/')
	if slash < 0 {
		return ""
	}
	return pointer[:slash]
}

// findOffsets sets the offset of each wanted pointer's value, up to the first syntax
// error in the document.
func findOffsets(raw []byte, wanted map[string]int) {
	dec := newDecoder(raw)
	end := 0
	for {
		token, err := dec.ReadToken()
		if err != nil {
			return
		}
		start := tokenStart(raw, end)
		end = int(dec.InputOffset())
		if isName(dec, token) || isEnd(token) {
			continue
		}
		pointer := string(dec.StackPointer())
		if _, ok := wanted[pointer]; ok {
			wanted[pointer] = start
		}
	}
}

// newDecoder returns a decoder that accepts duplicate names. It would otherwise fail at
// the first one, whereas Syntax reports each with its position.
func newDecoder(raw []byte) *jsontext.Decoder {
	return jsontext.NewDecoder(bytes.NewBuffer(raw), jsontext.AllowDuplicateNames(true))
}

func isEnd(token jsontext.Token) bool { return token.Kind() == '}' || token.Kind() == ']' }

// isName reports whether the token just read is the name of an object's member.
func isName(dec *jsontext.Decoder, token jsontext.Token) bool {
	kind, length := dec.StackIndex(dec.StackDepth()) // length counts names and values
	return token.Kind() == '"' && kind == '{' && length%2 == 1
}

// tokenStart returns the offset of the token after the one that ends at end.
func tokenStart(raw []byte, end int) int {
	for end < len(raw) && strings.IndexByte(" \t\r\n,:", raw[end]) >= 0 {
		end++
	}
	return end
}

func locate(f *Finding, offsets map[string]int, lines lineIndex) {
	if f.Line > 0 {
		return
	}
	p := f.Pointer
	for offsets[p] == notFound && p != "" {
		p = parent(p)
	}
	f.Line, f.Column = lines.position(max(offsets[p], 0))
}
