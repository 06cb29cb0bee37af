// Package httpapi speaks to the platform over HTTP and JSON: table service,
// object store, VM list and weight store.
package httpapi
