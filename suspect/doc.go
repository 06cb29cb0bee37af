// Package suspect finds and quarantines requests that crash engines. Such a
// request crashes every backend server that runs it, and its caller sends it
// again. Every request that runs on an engine when the engine dies becomes a
// suspect of that death, identified by the fingerprint of its content. A request
// that is suspected of too many distinct deaths is quarantined for a while. Each
// router and sidecar has a ledger of suspicions; ledgers are exchanged by gossip
// and merged by union.
//
// May import of pearyard: backing, event, rpc/suspect, types.
package suspect
