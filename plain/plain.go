package plain

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

var (
	// ErrNotSent: no byte of the call left; it provably did not run.
	ErrNotSent = errors.New("plain: call not sent")
	// ErrLost: the connection broke after a byte may have left; it may have run.
	ErrLost = errors.New("plain: answer lost")
)

// Call is one call to a plain service.
type Call struct {
	Method string
	Path   string // with query, beginning with "/"
	Header http.Header
	Body   []byte
}

// Answer is the service's whole answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Service is one plain service beside a sidecar. Do returns ErrNotSent or
// ErrLost when there is no answer.
type Service interface {
	Do(ctx context.Context, call Call) (Answer, error)
	Healthy(ctx context.Context) error
}
