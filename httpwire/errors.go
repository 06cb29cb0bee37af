package httpwire

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrSyntax is the cause of each SyntaxError.
var ErrSyntax = errors.New("httpwire: not a response of HTTP/1.1")

// maxShownBytes is how much of an invalid line an error shows.
const maxShownBytes = 80

// SyntaxError is returned for bytes that the grammar does not allow.
type SyntaxError struct {
	Element string // of the grammar that was expected
	Line    string // its beginning
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%v: invalid %s %q", ErrSyntax, e.Element, e.Line)
}

// Unwrap returns ErrSyntax.
func (e *SyntaxError) Unwrap() error { return ErrSyntax }

func syntaxError(element string, line []byte) *SyntaxError {
	return &SyntaxError{Element: element, Line: string(line[:min(len(line), maxShownBytes)])}
}
