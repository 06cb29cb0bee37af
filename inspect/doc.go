// Package inspect serves the diagnostics of a process over HTTP on the peer
// listener: a dump of its state, its recorded events, its metrics, its goroutines
// and its version. Responses are bounded in size and time, so that a process in
// trouble can still be inspected.
//
// May import of pearyard: event, types.
package inspect
