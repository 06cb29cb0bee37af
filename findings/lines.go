package findings

import (
	"sort"
	"unicode/utf8"
)

// lineIndex converts byte offsets to lines and columns.
type lineIndex struct {
	raw    []byte
	starts []int // offset of each line
}

func newLineIndex(raw []byte) lineIndex {
	starts := []int{0}
	for i, c := range raw {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return lineIndex{raw: raw, starts: starts}
}

// position returns the line and column of an offset, both from 1, the column in
// characters.
func (l lineIndex) position(offset int) (line, column int) {
	offset = min(max(offset, 0), len(l.raw))
	line = sort.SearchInts(l.starts, offset+1)
	return line, utf8.RuneCount(l.raw[l.starts[line-1]:offset]) + 1
}
