package text

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/pearyard/pearyard/findings"
)

// ChangeKind says what happened to a value between two texts.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one value that differs between two texts.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Pointer string     `json:"pointer"`        // in the new text; in the old one if removed
	Name    string     `json:"name,omitempty"` // of the service, model, adapter or organisation
	Old     any        `json:"old,omitempty"`
	New     any        `json:"new,omitempty"`
}

// String returns one line for the change.
func (c Change) String() string {
	if c.Kind == Changed {
		return fmt.Sprintf("changed %s (%s): %v -> %v", c.Pointer, c.Name, c.Old, c.New)
	}
	return fmt.Sprintf("%s %s (%s)", c.Kind, c.Pointer, c.Name)
}

// Diff lists what differs between two texts with their defaults filled in.
// Services, models, adapters and organisations are matched by name, so that
// moving one about is no change. A nil text counts as empty.
func Diff(old, next *Text) []Change {
	if old == nil {
		old = &Text{}
	}
	if next == nil {
		next = &Text{}
	}
	var d differ
	diffNamed(&d, "services", old.Services, next.Services, func(s *Service) string { return s.Name })
	diffNamed(&d, "models", old.Models, next.Models, func(m *Model) string { return pair(m.Name, m.Version) })
	diffNamed(&d, "adapters", old.Adapters, next.Adapters, func(a *Adapter) string { return pair(a.Name, a.Version) })
	diffNamed(&d, "organisations", old.Organisations, next.Organisations, func(o *Organisation) string { return o.Name })
	d.values("/recovery", "recovery", old.Recovery, next.Recovery)
	d.values("/limits", "limits", old.Limits, next.Limits)
	return d.changes
}

type differ struct{ changes []Change }

func diffNamed[T any](d *differ, member string, old, next []T, name func(*T) string) {
	before := make(map[string]int, len(old))
	for i := range old {
		before[name(&old[i])] = i
	}
	for i := range next {
		key := name(&next[i])
		at := findings.Pointer(member, i)
		j, ok := before[key]
		if !ok {
			d.changes = append(d.changes, Change{Kind: Added, Pointer: at, Name: key})
			continue
		}
		delete(before, key)
		d.values(at, key, old[j], next[i])
	}
	d.removed(member, before)
}

func (d *differ) removed(member string, left map[string]int) {
	first := len(d.changes)
	for key, i := range left {
		d.changes = append(d.changes, Change{Kind: Removed, Pointer: findings.Pointer(member, i), Name: key})
	}
	gone := d.changes[first:]
	sort.Slice(gone, func(i, j int) bool { return gone[i].Name < gone[j].Name })
}

// values compares two values of one type; only those that differ are taken
// apart, since most of 48,000 organisations don't.
func (d *differ) values(at, name string, old, next any) {
	if !reflect.DeepEqual(old, next) {
		d.compare(at, name, generic(old), generic(next))
	}
}

func generic(v any) any {
	var out any
	_ = json.Unmarshal(marshal(v), &out) // what marshal returns always decodes
	return out
}

func marshal(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // the text's types always marshal
	}
	return raw
}

func (d *differ) compare(at, name string, old, next any) {
	oldMap, isMap := old.(map[string]any)
	nextMap, isMapToo := next.(map[string]any)
	if isMap && isMapToo {
		d.compareMaps(at, name, oldMap, nextMap)
		return
	}
	oldList, isList := old.([]any)
	nextList, isListToo := next.([]any)
	if isList && isListToo {
		d.compareLists(at, name, oldList, nextList)
		return
	}
	if !reflect.DeepEqual(old, next) {
		d.changes = append(d.changes, Change{Kind: Changed, Pointer: at, Name: name, Old: old, New: next})
	}
}

func (d *differ) compareMaps(at, name string, old, next map[string]any) {
	keys := make([]string, 0, len(next))
	for key := range next {
		keys = append(keys, key)
	}
	for key := range old {
		if _, ok := next[key]; !ok {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		d.compare(at+findings.Pointer(key), name, old[key], next[key])
	}
}

func (d *differ) compareLists(at, name string, old, next []any) {
	for i := range max(len(old), len(next)) {
		here := at + findings.Pointer(i)
		switch {
		case i >= len(old):
			d.changes = append(d.changes, Change{Kind: Added, Pointer: here, Name: name})
		case i >= len(next):
			d.changes = append(d.changes, Change{Kind: Removed, Pointer: here, Name: name})
		default:
			d.compare(here, name, old[i], next[i])
		}
	}
}

const (
	// contextLines stand around each change of a unified diff.
	contextLines = 3
	// maxDiffLines bounds the stretch that is compared line by line, whose cost
	// grows faster than its length.
	maxDiffLines = 20_000
)

// Unified returns a readable diff of two texts as they were written, "" if
// they are the same. Equal lines at both ends are set aside first: a change in
// a text of 48,000 organisations then costs no more than one in a small text.
func Unified(old, next []byte, oldName, nextName string) string {
	a, b := splitLines(old), splitLines(next)
	head := equalLines(a, b, func(s []string, i int) string { return s[i] })
	tail := equalLines(a[head:], b[head:], func(s []string, i int) string { return s[len(s)-1-i] })
	if len(a) == head && len(b) == head {
		return ""
	}
	from, keep := max(0, head-contextLines), max(0, tail-contextLines)
	a, b = a[from:len(a)-keep], b[from:len(b)-keep]
	if len(a)+len(b) > maxDiffLines {
		return fmt.Sprintf("--- %s\n+++ %s\n%d lines from line %d on replaced by %d lines\n", oldName, nextName, len(a), from+1, len(b))
	}
	diff := difflib.UnifiedDiff{A: a, B: b, FromFile: oldName, ToFile: nextName, Context: contextLines}
	unified, err := difflib.GetUnifiedDiffString(diff)
	if err != nil {
		return "" // writing to memory doesn't fail
	}
	return shiftHunks(unified, from)
}

// splitLines indents a text that stands in a few very long lines, since a diff
// of whole lines would show all of it.
func splitLines(raw []byte) []string {
	const longLine = 1000
	if lines := bytes.Count(raw, []byte{'\n'}) + 1; len(raw)/lines > longLine {
		var b bytes.Buffer
		if json.Indent(&b, raw, "", "  ") == nil {
			raw = b.Bytes()
		}
	}
	return difflib.SplitLines(string(raw))
}

func equalLines(a, b []string, at func([]string, int) string) int {
	n := min(len(a), len(b))
	for i := range n {
		if at(a, i) != at(b, i) {
			return i
		}
	}
	return n
}

// shiftHunks corrects the line numbers for the lines set aside at the beginning.
func shiftHunks(unified string, by int) string {
	lines := strings.SplitAfter(unified, "\n")
	for i, line := range lines {
		var a, b string
		if n, _ := fmt.Sscanf(line, "@@ -%s +%s @@", &a, &b); n == 2 {
			lines[i] = fmt.Sprintf("@@ -%s +%s @@\n", shiftRange(a, by), shiftRange(b, by))
		}
	}
	return strings.Join(lines, "")
}

func shiftRange(r string, by int) string {
	var start, length int
	if n, _ := fmt.Sscanf(r, "%d,%d", &start, &length); n == 2 {
		return fmt.Sprintf("%d,%d", start+by, length)
	}
	_, _ = fmt.Sscanf(r, "%d", &start)
	return fmt.Sprintf("%d", start+by)
}
