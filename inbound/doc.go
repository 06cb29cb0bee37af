// Package inbound keeps track of the connections that a server's clients open:
// it closes those that idle or take too long, and ends the server, without losing
// a request that has come and isn't read yet.
//
// May import of pearyard: event, httpconn, retry.
package inbound
