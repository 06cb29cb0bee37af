package peer

import (
	"context"
	"net/http"
)

type repeatableKey struct{}

// Repeatable marks the calls of a context as idempotent: queries, and commands whose
// second run has no effect. Such a call is sent once more if a reused connection ends
// before any byte of a response was received.
//
// It guards against a process that ends, or closes a connection after a response, just as
// the next call is sent on that connection. The calling process would treat a live peer as
// unreachable: a caller that reconnects to a router would be told that not all peers could
// be asked, or a member would be missing from a status.
func Repeatable(ctx context.Context) context.Context {
	return context.WithValue(ctx, repeatableKey{}, true)
}

// idempotencyHeader with an empty list of values makes http.Transport replay a call by
// itself in exactly that case. The header isn't sent.
const idempotencyHeader = "Idempotency-Key"

func allowReplay(r *http.Request) {
	if marked, _ := r.Context().Value(repeatableKey{}).(bool); marked {
		r.Header[idempotencyHeader] = []string{}
	}
}
