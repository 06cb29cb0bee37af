// Package limit implements admission control per organisation: a rate limit, a
// concurrency limit, a queue that shares this router's slots by weight when they
// are all taken, and a Retry-After for shed requests that is computed from the
// queue's length and the rate at which slots are released. Routers enforce limits together by exchanging usage reports; no shared
// store is on the request path.
//
// A slot is capacity at the backend servers that this router may fill. A permit
// is one unit of an organisation's own concurrency limit. A running request holds
// one of each.
//
// May import of pearyard: event, types.
package limit
