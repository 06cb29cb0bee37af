// Package engine defines the interface between a sidecar and its model engine:
// generation with resume and cancel, load reports, cache events and orders.
//
// May import of pearyard: types.
package engine
