// Package inbound tracks the connections that clients open to a server. It closes
// connections that are idle or slow for too long, and shuts the server down, without
// losing a request that has arrived but is not read yet.
//
// May import of pearyard: event, httpconn, retry.
package inbound
