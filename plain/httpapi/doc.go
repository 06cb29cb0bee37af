// Package httpapi calls a plain service over HTTP, at most once per call, and
// proves which calls never left.
package httpapi
