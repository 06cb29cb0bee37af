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

// errFault is what the caller of a request is told that met a fault of this program.
var errFault = errors.New("entry: a fault of this program ended the request")

// maxStack bounds the stack in a line: a dozen calls.
const maxStack = 2048

// answerPanic ends a request on whose path the program panicked; it is to be
// deferred. http.ErrAbortHandler goes on to the server: with it handlers cut
// answers.
//
// The server's own recovery closes the connection without an answer.
func (h *handler) answerPanic(w *httpanswer.Writer, r *http.Request) {
	why := recover()
	if why == nil {
		return
	}
	if why == http.ErrAbortHandler {
		panic(why)
	}
	id := platform.RequestID(r)
	stack := debug.Stack()
	if fault, ok := why.(*exchange.PanicError); ok {
		stack = fault.Stack
	}
	h.recorder.Emit(EventPanicked, event.FieldRequest, id, "panic", fmt.Sprint(why), "answered", !w.HeaderWritten, "stack", string(stack[:min(len(stack), maxStack)]))
	if w.HeaderWritten {
		cut(r)
	}
	// What has been set belongs to an answer that isn't given.
	clear(w.Header())
	w.Header().Set("Connection", "close")
	platform.WriteFailure(w, id, &exchange.Failure{Ran: true, Err: errFault})
}
