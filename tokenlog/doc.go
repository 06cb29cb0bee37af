// Package tokenlog is the token journal: it keeps copies of the tokens of long generations
// on sidecars other than the one that runs them, so that an answer survives the
// simultaneous loss of its runner and its router.
//
// Place computes the journal peers of a generation from its key alone. A Writer beside the
// runner sends tokens to them in batches; each peer's Store keeps them in branches by
// lineage; a router's Reader finds the branch that continues what a caller has seen. The
// journal is not a replicated store: a peer may drop a generation, and the reader then
// reports this as a typed error.
//
// May import of pearyard: event, rpc/journal, rpc/stream, types.
package tokenlog
