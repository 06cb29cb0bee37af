// Package soak runs entry programs as processes on loopback and disrupts them from
// outside: connections through a proxy are delayed, reset, cut in one direction or
// silenced; processes are started, get little CPU time, and are paused, stopped and
// killed by signals; backend servers crash and drain; the store is slow, unavailable
// or loses its history; each part of the configuration changes; load rises. The
// requests that callers and backend servers recorded are then checked against
// pearyard's guarantees. A seed determines the order of the disruptions.
//
// A plan may consist of planned work and load only, one disruption after another or
// overlapping. While no server, link or VM has a fault, each request that was sent
// completely is answered or refused before its deadline.
//
// Three parts of the soak exist to expose one kind of loss: an engine that reads the
// prompt of one stream produces no events for its other streams, it is treated as lost
// because it is silent, the server that is to resume those streams has no memory for
// them, and the requests are given up although nothing has failed.
//   - Engines have limits. If they had memory for all streams and read prompts without
//     pausing other streams, none would be silent, preempt a stream or refuse a KV copy
//     under load.
//   - A stream that breaks off counts as lost unless a fault may have affected it. A
//     check of only the events that reached the caller would let a stream end anywhere
//     although its engine is alive.
//   - Times without a fault are checked on their own, and fault-free plans consist of
//     nothing else: with faults all the time, each loss would be excused.
//
// A fourth part exposes requests that are lost when their connection is closed as idle:
// some callers leave their connections idle for most of the idle timeout. Callers that
// use their connections all the time never reach it.
//
// In a contended site stream routes and organisations have different priorities, and while
// capacity is short the most urgent streams must not be served in time less often than the
// least urgent ones.
package soak
