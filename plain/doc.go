// Package plain defines the interface between a sidecar and a plain service, which
// answers calls.
//
// May import of pearyard: none.
package plain
