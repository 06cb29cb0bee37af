// Package client is a caller: it streams a generation and, when its connection
// breaks, comes back through the next router with Last-Event-ID. The demo, the
// scenarios and the measurements use it, and it serves as an example for others.
//
// May import of pearyard: types.
package client
