// Package httpconn sends single HTTP/1.1 requests over connections of its own
// pool. net/http's Transport retries a request by itself when a pooled connection
// breaks, and takes whatever arrives on a pooled connection for the response to
// the next request; here the caller decides both.
//
// May import of pearyard: httpwire.
package httpconn
