package plain

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

var (
	// ErrNotSent: no byte of the call was sent, so it certainly did not run.
	ErrNotSent = errors.New("plain: call not sent")
	// ErrResponseLost: the response was lost after a byte may have been sent; the call may
	// have run.
	ErrResponseLost = errors.New("plain: response lost")
)

// Call is one call to a plain service.
type Call struct {
	Method string
	Path   string // begins with "/"; includes the query
	Header http.Header
	Body   []byte
}

// Answer is the service's complete response.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Service is the plain service of a sidecar. Do returns ErrNotSent or ErrResponseLost if
// there is no usable response; any status is a response.
type Service interface {
	Do(ctx context.Context, call Call) (Answer, error)
	Healthy(ctx context.Context) error
}
