// Package retry decides whether, when and against which backend server a
// request may be tried again: a budget per service, a circuit per backend
// server, the caller's deadline, and the rule that only what provably did not
// run is ever sent twice.
//
// May import of pearyard: event, types.
package retry
