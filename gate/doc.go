// Package gate is the sidecar's side of calls to a plain service. It runs each
// attempt of an at-most-once call at most once, remembers its result, and
// answers routers that request to void an attempt.
//
// DecideCall and DecideVoid do no I/O, so that the model checker in package
// claim explores the code that is used in production.
//
// May import of pearyard: claim, event, plain, rpc/stream, types.
package gate
