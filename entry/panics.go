package entry

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/httpanswer"
	"github.com/pearyard/pearyard/platform"
)

// errInternal is the error reported to the caller of a request whose handler panicked.
var errInternal = errors.New("entry: a fault of this program ended the request")

// maxStackBytes bounds the stack trace in a log line; it fits about a dozen frames.
const maxStackBytes = 2048

// recoverPanic answers a request whose handler panicked; it must be deferred. The
// recovery in net/http would close the connection without a response.
//
// http.ErrAbortHandler is passed on to the server: handlers abort responses with it.
func (h *handler) recoverPanic(w *httpanswer.Writer, r *http.Request) {
	recovered := recover()
	if recovered == nil {
		return
	}
	if recovered == http.ErrAbortHandler {
		panic(recovered)
	}
	id := platform.RequestID(r)
	stack := debug.Stack()
	if fault, ok := recovered.(*exchange.PanicError); ok {
		stack = fault.Stack
	}
	h.recorder.Emit(EventPanicked, event.FieldRequest, id, "panic", fmt.Sprint(recovered), "answered", !w.HeaderWritten, "stack", string(stack[:min(len(stack), maxStackBytes)]))
	if w.HeaderWritten {
		abortResponse(r)
	}
	// The header fields set so far belong to a response that isn't sent.
	clear(w.Header())
	w.Header().Set("Connection", "close")
	platform.WriteFailure(w, id, &exchange.Failure{Ran: true, Err: errInternal})
}
