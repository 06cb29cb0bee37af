package peer

import (
	"context"
	"net/http"
)

type repeatableKey struct{}

// Repeatable marks the calls of a context as ones that may run twice: questions,
// and commands whose second run changes nothing. Such a call is sent once more
// if a kept connection ends under it without a byte of an answer.
//
// Failure it stops: a process ends, or closes a connection that it has answered
// on, just as the next question goes out there. The process that asked would
// take a peer that lives for one that doesn't answer: a caller that comes back
// is told that not everybody could be asked, or a member is missing in a status.
func Repeatable(ctx context.Context) context.Context {
	return context.WithValue(ctx, repeatableKey{}, true)
}

// idempotencyHeader with an empty list lets http.Transport repeat a call by
// itself in just that case; the header isn't sent.
const idempotencyHeader = "Idempotency-Key"

func markRepeatable(r *http.Request) {
	if marked, _ := r.Context().Value(repeatableKey{}).(bool); marked {
		r.Header[idempotencyHeader] = []string{}
	}
}
