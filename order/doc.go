// Package order brings engines to what the operators' text asks of them: a
// Reconciler on the router that holds the lease compares and issues orders, a
// Guard on each sidecar lets only orders of the newest holder through.
//
// # Which guard stops which order of events
//
// Let A be a holder that is paused and B the one that takes over with a larger
// fencing number.
//
//  1. A wakes after its term and wants to order. lease.Keeper.Held is false by
//     A's own clock; the Reconciler asks it just before each send. Nothing is sent.
//  2. A checks its lease, is paused between check and send, and sends when B has
//     ordered already. The Guard (and an engine that checks) has seen B's number
//     and refuses A's.
//  3. As 2, but the sidecar restarted after B's order and has seen no number. The
//     Guard reads the lease row before the first order, finds B's number there
//     and refuses; if the row can't be read it refuses every order.
//  4. A's order is in the engine's hands, slowly, when B's arrives. The Guard
//     passes one order at a time, so B's waits and comes last.
//  5. A's order arrives before B's first. It takes effect: nobody can know better.
//     B reads back what is loaded, sees the difference and orders again.
//  6. The Guard gives up on A's order (timeout) and passes B's, but the engine
//     carries A's out after B's. An engine that checks refuses A's; for one that
//     ignores the number this can't be prevented, only seen: B's Reconciler reads
//     back in each pass and corrects.
//  7. A reaches an engine that ignores the number without its sidecar. Nothing
//     here can prevent it; the engine's port must be reachable from the slot
//     beside it only. B's next pass corrects the effect.
//
// May import of pearyard: backing, engine, event, rpc/order.
package order
