// Package claim runs calls that may not be repeated at most once.
//
// Before the first byte of a call is sent, its router claims the call's
// idempotency key in the table service by compare-and-swap. The claim names one
// attempt and the one run (incarnation) of the one sidecar that may run it.
// The attempt is dispatched once. Whoever meets the claim later doesn't send
// the call; it asks the named sidecar to void the attempt, and claims anew only
// on the proof that the attempt never ran and never will. Without that proof
// the outcome is unknown, and stays so.
//
// Next decides what follows which observation, without I/O, so that the model
// check searches the code that runs. Package gate is the sidecar's side.
//
// May import of pearyard: backing, event, plain, rpc/stream, types.
package claim
