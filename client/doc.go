// Package client streams generations. When its connection breaks, it resumes the
// stream through the next router with Last-Event-ID. The demo, the scenarios and the
// measurements use it, and it is an example for other clients.
//
// May import of pearyard: httpwire, types.
package client
