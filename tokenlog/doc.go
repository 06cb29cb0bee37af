// Package journal keeps the tokens of long generations on sidecars other than
// the one that runs them, so that an answer survives the loss of its runner and
// its router together.
//
// Place names the peers of a generation from its key alone. A Writer beside the
// runner sends tokens to them in batches; each peer's Store keeps them in
// branches by lineage; a router's Reader finds the branch that continues what a
// caller has seen. Nothing here is a replicated store: a peer may forget, and
// the reader then says so in a typed error.
//
// May import of pearyard: event, rpc/journal, rpc/stream, types.
package tokenlog
