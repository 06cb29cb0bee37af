// Package inspect is the part of every process that explains it to others: a
// dump of its state, its ring of events, its metrics and its version, over HTTP
// on the peer listener. What it answers is bounded in size and in time, so that
// a process in trouble can always be asked.
//
// May import of pearyard: event, types.
package inspect
