// Package httpapi is a client of model engines over HTTP and JSON. A generation is
// a stream of newline-delimited JSON; load, cache events and orders are single calls.
package httpapi
