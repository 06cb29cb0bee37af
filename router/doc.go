// Package router serves callers: it admits a request, chooses a backend
// server, streams its tokens, resumes a generation whose engine dies, and reports
// whether a request that fails may have run. It keeps no state that must survive
// a restart.
//
// May import of pearyard: claim, event, httpanswer, inspect, limit, membership, peer, plain,
// retry, route, rpc/journal, rpc/stream, suspect, text, tokenlog, types.
package router
