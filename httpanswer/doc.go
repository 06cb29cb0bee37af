// Package httpanswer holds what HTTP servers for callers share: a response writer
// that tracks whether the header has been written, and the draining of request
// bodies after a refusal.
//
// May import of pearyard: none.
package httpanswer
