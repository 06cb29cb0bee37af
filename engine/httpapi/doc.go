// Package httpapi speaks to a model engine over HTTP and JSON: generations as
// newline-delimited JSON, and load, cache events and orders as plain calls.
package httpapi
