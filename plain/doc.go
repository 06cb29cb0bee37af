// Package plain names what a plain service does for its sidecar: answer calls.
//
// May import of pearyard: none.
package plain
