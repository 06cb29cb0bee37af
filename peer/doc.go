// Package peer attaches a stamp (process, incarnation, address, configuration revision in
// force) to every call between processes, in both directions. A new revision or a
// restarted process thus becomes known through ordinary traffic.
//
// May import of pearyard: httpconn, httpwire, types.
package peer
