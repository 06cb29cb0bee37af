// Package admin serves the administration API of a router: commands that change the
// system and queries that only read it, on a separate listener and protected by a
// bearer token. It is stateless: any router can serve any call.
//
// May import of pearyard: event, findings, httpwire, inspect, rpc/admin, types.
package admin
