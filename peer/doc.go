// Package peer carries a stamp (process, incarnation, address, revision in
// force) on every call between processes, in both directions. News of a new
// revision or of a restarted process therefore spreads with ordinary traffic.
//
// May import of pearyard: httpconn, types.
package peer
