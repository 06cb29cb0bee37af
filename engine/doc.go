// Package engine names what a model engine does for its sidecar: generate with
// resume and cancel, report load, publish cache events, take orders.
//
// May import of pearyard: types.
package engine
