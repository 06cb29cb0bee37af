// Package httpapi calls a plain service over HTTP. It sends each call at most once
// and distinguishes calls that were certainly not sent.
package httpapi
