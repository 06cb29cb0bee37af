// Package lease lets one process at a time act for a name, by a row of the
// platform's table service, and gives each holder a fencing number.
//
// A lease alone can't stop a holder that was paused between looking and acting.
// The fencing number does: it grows with each change of holder, and whoever is
// acted upon refuses a smaller one than it has seen (package order).
//
// No clock of another process is trusted. The holder counts its term from before
// it sent the write that renewed the row; a waiter counts the term from when it
// first read the row's present version, and takes over only after it has itself
// watched that version stay for the term and a margin. Any write that the
// waiter has read was sent before, so the holder's count ends first, unless the
// clocks' rates differ by more than the margin.
//
// May import of pearyard: backing, event.
package lease
