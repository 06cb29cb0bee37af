// Package httpwire checks what a server sends on an HTTP/1.1 connection before a parser reads it.
//
// net/http accepts more than the message syntax (RFC 9112) does, and frames some of it otherwise
// than the server meant. It also takes a connection that was reset for one that ended in order if
// another goroutine was told of the reset. A connection of this package fails in both cases, so
// that neither reaches a caller as an answer.
//
// May import of pearyard: none.
package httpwire
