// Package httpconn sends single HTTP/1.1 requests over connections that it
// keeps itself. net/http's Transport sends a request again on its own when a
// kept connection breaks, and takes whatever arrives on a kept connection for
// the answer to the next request; here the caller decides both.
//
// May import of pearyard: none.
package httpconn
