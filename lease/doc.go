// Package lease grants a named lease to one process at a time, by means of a row in
// the platform's table service, and gives each holder a fencing number.
//
// A lease alone can't stop a holder that was paused between checking its lease and
// acting. The fencing number does: it increases with each change of holder, and
// the receiver of an action refuses a number smaller than the largest it has seen
// (package order).
//
// No process relies on another one's clock. The holder counts its term from before
// it sent the write that renewed the row. A waiter counts the term from when it
// first read the row's current version, and takes over only after it has seen that
// version unchanged for the term and a margin. Any write that the waiter has read
// was sent before that, so the holder's term ends first, unless the rates of the
// two clocks differ by more than the margin.
//
// May import of pearyard: backing, event.
package lease
