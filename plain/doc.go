// Package plain defines the interface between a sidecar and a plain service, which
// answers each call with one complete response.
//
// May import of pearyard: none.
package plain
