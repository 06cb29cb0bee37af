// Package soak runs entry programs as processes on loopback and troubles them
// from outside: connections through a proxy are delayed, reset, cut one way or
// silenced; processes are stopped, paused, killed and started by signals, or get
// little processor time; backend servers crash and leave; the store is slow, away
// or forgetful; configurations of each kind change; callers come in crowds. What
// callers and backend servers see is held against the promises. A seed gives the
// order of troubles.
//
// A run may be calm: planned work and load only, in series or overlapping. In any
// span without a fault of a server, a link or a VM each request that was sent
// whole is answered or refused, unless its time is up.
//
// Four things are played or checked so that a certain loss shows: an engine that
// reads one stream's prompt makes no event for the others, its silence is taken
// for its loss, the server that is to go on has no room, and an answer is given
// up although nothing has failed.
//   - Engines are bounded: with memory for all, and prompts read beside streams,
//     none ever pauses or preempts, and none refuses a copy beside load.
//   - A stream that breaks off counts as lost unless a fault may have touched it.
//     Held only to what it has passed on, it may end anywhere though its engine lives.
//   - Spans with planned work and load only are judged by themselves, and calm
//     runs have nothing else: beside faults at all times each loss is excused.
//   - Some callers leave their connections idle for most of the idle limit: those
//     that use them all the time never meet it.
package soak
