// Package sidecar implements the process that runs beside each backend server and is the
// only way to reach it: it admits work, runs it on the engine or plain service, keeps what
// was generated, and makes sure that a planned stop interrupts nothing.
//
// May import of pearyard: engine, event, generation, inspect, peer, plain, rpc/stream,
// suspect, tokenlog, types.
package sidecar
