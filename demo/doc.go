// Package demo demonstrates the purpose of pearyard in one process within a few
// seconds: a caller gets a long generation completely, although first the engine
// that produces it and then the router that serves it are killed.
//
// May import of pearyard: client, embedded, standin.
package demo
