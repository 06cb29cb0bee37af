// Package sidecar is the process in the slot beside each backend server, and
// the only way into it: it admits work, runs it on the engine or plain service,
// keeps what was generated, and sees to it that a stop cuts nothing.
//
// May import of pearyard: engine, event, generation, inspect, peer, plain,
// rpc/stream, suspect, tokenlog, types.
package sidecar
