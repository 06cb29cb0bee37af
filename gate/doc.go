// Package gate is a sidecar's side of calls to a plain service. It admits each
// attempt of a call that may not be repeated at most once, remembers what came
// of it, and answers routers that ask to void one.
//
// DecideCall and DecideVoid decide without I/O, so that the model check in
// package claim searches the code that runs.
//
// May import of pearyard: claim, event, plain, rpc/stream, types.
package gate
