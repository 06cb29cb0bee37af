// Package event records the numbered events by which an operator, or a vendor
// without access to the site, can see what a process did. Each package defines its
// events in its own events.go; docs/EVENTS.md is the catalogue of all of them.
//
// May import of pearyard: none.
package event
