// Package soak runs entry programs as processes on loopback and troubles them
// from outside: connections through a proxy are delayed, reset, cut one way or
// silenced; processes are stopped, paused, killed and started by signals;
// backend servers crash and leave; the store is slow, away or forgetful. What
// callers and backend servers see is held against the promises. A seed gives
// the order of troubles.
package soak
