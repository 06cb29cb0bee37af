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

// ChangeKind is the kind of difference between two configurations.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one value that differs between two configurations.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Pointer string     `json:"pointer"`        // in the new configuration; in the old one if removed
	Name    string     `json:"name,omitempty"` // of the service or organisation; name@version of the model or adapter; recovery or limits
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

// Diff lists the differences between two configurations, with defaults filled in.
// Services and organisations are matched by name, models and adapters by name and
// version, so that reordering them is not a change. Lists within them are compared by
// position. A nil configuration counts as empty.
func Diff(old, next *Config) []Change {
	if old == nil {
		old = &Config{}
	}
	if next == nil {
		next = &Config{}
	}
	var d differ
	diffNamed(&d, "services", old.Services, next.Services, func(s *Service) string { return s.Name })
	diffNamed(&d, "models", old.Models, next.Models, func(m *Model) string { return nameAtVersion(m.Name, m.Version) })
	diffNamed(&d, "adapters", old.Adapters, next.Adapters, func(a *Adapter) string { return nameAtVersion(a.Name, a.Version) })
	diffNamed(&d, "organisations", old.Organisations, next.Organisations, func(o *Organisation) string { return o.Name })
	d.compareValues("/recovery", "recovery", old.Recovery, next.Recovery)
	d.compareValues("/limits", "limits", old.Limits, next.Limits)
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
		pointer := findings.Pointer(member, i)
		j, ok := before[key]
		if !ok {
			d.changes = append(d.changes, Change{Kind: Added, Pointer: pointer, Name: key})
			continue
		}
		delete(before, key)
		d.compareValues(pointer, key, old[j], next[i])
	}
	d.addRemoved(member, before)
}

func (d *differ) addRemoved(member string, unmatched map[string]int) {
	first := len(d.changes)
	for key, i := range unmatched {
		d.changes = append(d.changes, Change{Kind: Removed, Pointer: findings.Pointer(member, i), Name: key})
	}
	removed := d.changes[first:]
	sort.Slice(removed, func(i, j int) bool { return removed[i].Name < removed[j].Name })
}

// compareValues compares two values of one type. Only values that differ are
// decomposed, since most of 48,000 organisations are equal.
func (d *differ) compareValues(pointer, name string, old, next any) {
	if !reflect.DeepEqual(old, next) {
		d.compare(pointer, name, toGeneric(old), toGeneric(next))
	}
}

func toGeneric(v any) any {
	var out any
	_ = json.Unmarshal(marshal(v), &out) // what marshal returns always decodes
	return out
}

func marshal(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // the configuration's types always marshal
	}
	return raw
}

func (d *differ) compare(pointer, name string, old, next any) {
	oldMap, oldIsMap := old.(map[string]any)
	nextMap, nextIsMap := next.(map[string]any)
	if oldIsMap && nextIsMap {
		d.compareMaps(pointer, name, oldMap, nextMap)
		return
	}
	oldList, oldIsList := old.([]any)
	nextList, nextIsList := next.([]any)
	if oldIsList && nextIsList {
		d.compareLists(pointer, name, oldList, nextList)
		return
	}
	if !reflect.DeepEqual(old, next) {
		d.changes = append(d.changes, Change{Kind: Changed, Pointer: pointer, Name: name, Old: old, New: next})
	}
}

func (d *differ) compareMaps(pointer, name string, old, next map[string]any) {
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
		d.compare(pointer+findings.Pointer(key), name, old[key], next[key])
	}
}

func (d *differ) compareLists(pointer, name string, old, next []any) {
	for i := range max(len(old), len(next)) {
		itemPointer := pointer + findings.Pointer(i)
		switch {
		case i >= len(old):
			d.changes = append(d.changes, Change{Kind: Added, Pointer: itemPointer, Name: name})
		case i >= len(next):
			d.changes = append(d.changes, Change{Kind: Removed, Pointer: itemPointer, Name: name})
		default:
			d.compare(itemPointer, name, old[i], next[i])
		}
	}
}

const (
	// contextLines is the number of lines around each change in a unified diff.
	contextLines = 3
	// maxDiffLines bounds the section that is compared line by line, since the cost
	// grows faster than its length.
	maxDiffLines = 20_000
)

// UnifiedDiff returns a unified diff of two configurations as they were written, ""
// if they are equal. Equal lines at both ends are skipped, so that one change in a
// configuration of 48,000 organisations costs no more than in a small one.
func UnifiedDiff(old, next []byte, oldName, nextName string) string {
	a, b := splitLines(old), splitLines(next)
	prefix := commonLength(a, b, func(s []string, i int) string { return s[i] })
	suffix := commonLength(a[prefix:], b[prefix:], func(s []string, i int) string { return s[len(s)-1-i] })
	if len(a) == prefix && len(b) == prefix {
		return ""
	}
	skipStart, skipEnd := max(0, prefix-contextLines), max(0, suffix-contextLines)
	a, b = a[skipStart:len(a)-skipEnd], b[skipStart:len(b)-skipEnd]
	if len(a)+len(b) > maxDiffLines {
		return fmt.Sprintf("--- %s\n+++ %s\n%d lines from line %d on replaced by %d lines\n", oldName, nextName, len(a), skipStart+1, len(b))
	}
	diff := difflib.UnifiedDiff{A: a, B: b, FromFile: oldName, ToFile: nextName, Context: contextLines}
	unified, err := difflib.GetUnifiedDiffString(diff)
	if err != nil {
		return "" // writing to memory doesn't fail
	}
	return shiftHunks(unified, skipStart)
}

// splitLines splits a configuration into lines. One written in a few very long lines
// is indented first, since a diff by lines would show all of it.
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

// commonLength returns how many lines are equal in a and b; at returns the i-th line to
// compare, from the start or from the end.
func commonLength(a, b []string, at func([]string, int) string) int {
	n := min(len(a), len(b))
	for i := range n {
		if at(a, i) != at(b, i) {
			return i
		}
	}
	return n
}

// shiftHunks adds the number of skipped lines to the line numbers of the hunks.
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
