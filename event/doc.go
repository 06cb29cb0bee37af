// Package event keeps the numbered events that explain to an operator, and to
// a vendor without access, what a process did. Each concern defines its events
// in its own events.go; docs/EVENTS.md is the catalogue of all of them.
//
// May import of pearyard: none.
package event
