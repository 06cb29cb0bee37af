// Package httpapi implements clients of the platform's table service, object
// store, VM list and weight store over HTTP and JSON.
package httpapi
