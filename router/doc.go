// Package router serves callers: it admits a request, chooses a backend
// server, passes tokens on, resumes a generation whose engine dies, and says
// truthfully what became of a request that it gives up on. It keeps nothing
// that must last.
//
// May import of pearyard: claim, event, httpanswer, inspect, limit, membership, peer, plain,
// retry, route, rpc/journal, rpc/stream, suspect, text, tokenlog, types.
package router
