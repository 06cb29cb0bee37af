// Package claim runs non-repeatable calls at most once.
//
// Before a router sends the first byte of a call, it claims the call's
// idempotency key in the table service by compare-and-swap. The claim names one
// attempt and the incarnation of the only sidecar that may run it. The attempt
// is dispatched once. A request that finds the claim later doesn't send the
// call: it asks the named sidecar to void the attempt, and claims the key again
// only with the proof that the attempt never ran and never will. Without this
// proof the outcome is unknown and stays so.
//
// A call is the work under one idempotency key, a request is one invocation of
// Coordinator.Do for that call, and an attempt is what a request claims and
// dispatches at most once. A request may claim several attempts, one after another,
// and a call may have several requests.
//
// Next decides which action follows an observation. It does no I/O, so that the
// model checker in the tests searches the production code. Package gate is the
// sidecar's side of the protocol.
//
// May import of pearyard: backing, event, plain, rpc/stream, types.
package claim
