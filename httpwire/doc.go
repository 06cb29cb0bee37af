// Package httpwire tells the end of a connection that a server has closed in order from a reset,
// also if another goroutine was told of the reset: net/http takes that for an orderly end, and so
// a part of an answer without a length for the whole one.
//
// May import of pearyard: none.
package httpwire
