// Package soak runs entry programs as processes on loopback and disrupts them from
// outside: connections through a proxy are delayed, reset, cut in one direction or
// silenced; processes are stopped, paused, killed and started by signals, or get
// little CPU time; backend servers crash and drain; the store is slow, unavailable
// or loses its history; configurations of each kind change; load rises. The requests
// that callers and backend servers recorded are then checked against pearyard's
// guarantees. A seed determines the order of the disruptions.
//
// A plan may consist of planned work and load only, one disruption after another or
// overlapping. While no server, link or VM has a fault, each request that was sent
// completely is answered or refused before its deadline.
//
// Four parts of the soak exist to expose one kind of loss: an engine that reads the
// prompt of one stream makes no events for the others, its silence is taken for its
// loss, the server that is to resume them has no memory, and the request is given up
// although nothing has failed.
//   - Engines have limits: with memory for all streams, and prompts read beside
//     streams, none would pause or preempt, and none would refuse a copy under load.
//   - A stream that breaks off counts as lost unless a fault may have affected it. A
//     check of only the events that it passed on would let it end anywhere although
//     its engine is alive.
//   - Spans with planned work and load only are checked on their own, and fault-free
//     plans have nothing else: with faults all the time, each loss would be excused.
//   - Some callers leave their connections idle for most of the idle timeout: callers
//     that use them all the time never reach it.
package soak
