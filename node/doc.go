// Package node assembles a router or a sidecar from its parts, either as a process of its
// own or as one of several in a process (package embedded). The daemons and the demo start
// the same code.
//
// May import of pearyard: admin, backing, claim, config, engine, event, findings, gate,
// inbound, inspect, lease, limit, membership, order, peer, plain, router, rpc/config,
// rpc/journal, rpc/order, rpc/stream, rpc/suspect, sidecar, suspect, text, tokenlog,
// types.
package node
