package router

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/httpanswer"
	"github.com/pearyard/pearyard/types"
)

// maxStackBytes bounds the stack in an event, to about a dozen calls.
const maxStackBytes = 2048

// answerPanic recovers a panic of a request's handler and answers the request; it
// must be deferred. http.ErrAbortHandler is passed on to the server: handlers use it
// to cut off answers.
//
// The server's own recovery closes the connection, which leaves the caller without
// an answer, and writes a stack to standard error that names no request.
func (r *Router) answerPanic(w *httpanswer.Writer, id types.RequestID) {
	recovered := recover()
	if recovered == nil {
		return
	}
	if recovered == http.ErrAbortHandler {
		panic(recovered)
	}
	stack := debug.Stack()
	r.opts.Recorder.Emit(eventPanicked, event.FieldRequest, id, "panic", fmt.Sprint(recovered), "answered", !w.HeaderWritten, "stack", string(stack[:min(len(stack), maxStackBytes)]))
	if w.HeaderWritten {
		panic(http.ErrAbortHandler)
	}
	// The headers set so far belong to an answer that is not sent.
	clear(w.Header())
	w.Header().Set(HeaderRequestID, string(id))
	w.Header().Set("Connection", "close")
	refusal := types.Unknown(types.CodeInternal, 0, "a fault of this router ended the request")
	refusal.Status = http.StatusInternalServerError
	r.refuse(w, id, refusal)
}
