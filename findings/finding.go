package findings

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Severity tells whether a finding prevents the document from being accepted.
type Severity string

const (
	// Error prevents the document from being accepted.
	Error Severity = "error"
	// Warning doesn't prevent the document from being accepted.
	Warning Severity = "warning"
)

// Finding is one error or warning at one position.
type Finding struct {
	Severity Severity `json:"severity"`
	Pointer  string   `json:"pointer"` // JSON pointer (RFC 6901); "" is the whole document
	Line     int      `json:"line"`    // from 1; 0 if it has no position in a document
	Column   int      `json:"column"`  // from 1, in characters
	Message  string   `json:"message"`
}

// String returns `line:column: severity: pointer: message`.
func (f Finding) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d: ", f.Line, f.Column)
	}
	fmt.Fprintf(&b, "%s: ", f.Severity)
	if f.Pointer != "" {
		fmt.Fprintf(&b, "%s: ", f.Pointer)
	}
	b.WriteString(f.Message)
	return b.String()
}

// List holds findings; the zero value is an empty list.
type List []Finding

// Errorf adds an error at a JSON pointer.
func (l *List) Errorf(pointer, format string, args ...any) {
	*l = append(*l, Finding{Severity: Error, Pointer: pointer, Message: fmt.Sprintf(format, args...)})
}

// Warnf adds a warning at a JSON pointer.
func (l *List) Warnf(pointer, format string, args ...any) {
	*l = append(*l, Finding{Severity: Warning, Pointer: pointer, Message: fmt.Sprintf(format, args...)})
}

// HasErrors reports whether any finding is an error.
func (l List) HasErrors() bool {
	for _, f := range l {
		if f.Severity == Error {
			return true
		}
	}
	return false
}

// Sort orders the findings by position and pointer, then severity, then message.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool { return less(l[i], l[j]) })
}

func less(a, b Finding) bool {
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	if a.Column != b.Column {
		return a.Column < b.Column
	}
	if a.Pointer != b.Pointer {
		return a.Pointer < b.Pointer
	}
	if a.Severity != b.Severity {
		return a.Severity < b.Severity
	}
	return a.Message < b.Message
}

// String returns one line for each finding.
func (l List) String() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// JSON returns the findings as a JSON array, "[]" if there are none.
func (l List) JSON() []byte {
	if l == nil {
		l = List{}
	}
	raw, err := json.MarshalIndent([]Finding(l), "", "  ")
	if err != nil {
		return []byte("[]") // strings and numbers always marshal
	}
	return raw
}

// ListError is an error that consists of findings.
type ListError struct{ Findings List }

// Error implements error.
func (e *ListError) Error() string { return e.Findings.String() }

// Err returns a *ListError if any finding is an error, else nil.
func (l List) Err() error {
	if !l.HasErrors() {
		return nil
	}
	return &ListError{Findings: l}
}
