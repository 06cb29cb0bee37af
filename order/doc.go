// Package order makes engines serve what the operators' configuration asks for. A
// Reconciler on the router that holds the lease compares what each engine has
// loaded with the configuration and sends orders for the difference; a Guard on
// each sidecar passes only the orders of the newest lease holder to the engine.
//
// # Guards against orders of a replaced holder
//
// Let A be a lease holder that is paused, and B its successor with a larger
// fencing number.
//
//  1. A resumes after its term and is about to send an order. The Reconciler calls
//     lease.Keeper.Held just before each send, and it is false by A's own clock.
//     Nothing is sent.
//  2. A checks its lease, is paused between check and send, and sends after B has
//     sent an order. The Guard (and an engine that checks fencing numbers) has
//     seen B's number and refuses A's.
//  3. As 2, but the sidecar restarted after B's order and has seen no number. The
//     Guard reads the lease row before the first order, finds B's number there
//     and refuses A's; if the row can't be read, it refuses every order.
//  4. The engine is still executing A's order when B's arrives. The Guard passes
//     one order at a time, so B's order waits and takes effect last.
//  5. A's order arrives before B's first one. It takes effect, since B's number is
//     not known yet. B reads back what is loaded, sees the difference and sends
//     its order again.
//  6. The Guard stops waiting for A's order (timeout) and passes B's, but the
//     engine executes A's after B's. An engine that checks refuses A's. With one
//     that ignores the number this can't be prevented, only detected: B's
//     Reconciler reads back in each pass and corrects it.
//  7. A reaches an engine that ignores the number without going through its
//     sidecar. This package can't prevent that; the engine's port must be
//     reachable only from the sidecar beside it. B's next pass corrects the
//     effect.
//
// May import of pearyard: backing, engine, event, rpc/order.
package order
