package router

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/httpanswer"
	"github.com/pearyard/pearyard/types"
)

// maxStack bounds the stack in a line: a dozen calls.
const maxStack = 2048

// answerPanic ends a request on whose path the program panicked; it is to be
// deferred. http.ErrAbortHandler goes on to the server: with it handlers cut
// answers.
//
// Failure it stops: the server recovers a panic by closing the connection. The
// caller had neither an answer nor a refusal, and the stack on standard error
// named no request.
func (r *Router) answerPanic(w *httpanswer.Writer, id types.RequestID) {
	why := recover()
	if why == nil {
		return
	}
	if why == http.ErrAbortHandler {
		panic(why)
	}
	stack := debug.Stack()
	r.opts.Recorder.Emit(eventPanicked, event.FieldRequest, id, "panic", fmt.Sprint(why), "answered", !w.HeaderWritten, "stack", string(stack[:min(len(stack), maxStack)]))
	if w.HeaderWritten {
		panic(http.ErrAbortHandler)
	}
	// What has been set belongs to an answer that isn't given.
	clear(w.Header())
	w.Header().Set(HeaderRequestID, string(id))
	w.Header().Set("Connection", "close")
	refusal := types.Unknown(types.CodeInternal, 0, "a fault of this router ended the request")
	refusal.Status = http.StatusInternalServerError
	r.refuse(w, id, refusal)
}
