// Package suspect keeps crash suspicions. Now and then one request crashes each
// backend server that runs it, and its caller sends it again. Every request
// that ran on an engine when it died gains that death as a suspicion, keyed by
// the fingerprint of its content; at a limit of distinct deaths it is
// quarantined for a while. Ledgers of routers and sidecars merge by union.
//
// May import of pearyard: backing, event, rpc/suspect, types.
package suspect
