package httpanswer

import (
	"io"
	"net/http"
	"time"
)

const (
	// readByServer is what net/http reads of a body that its handler has left.
	readByServer = 256 << 10
	// maxBytes is how much of a body is read that nobody wants: four times the
	// largest that configurations of entry VMs allow, twice the router's default.
	maxBytes = 16 << 20
	// maxTime bounds it: 4 MB take a third of a second at 100 Mbit/s.
	maxTime = 2 * time.Second
)

// ReadOff lets a request be refused whose body has not been read to its end. It
// is called before the refusal is written, and what it returns after it.
//
// Failure it stops: a caller writes all of its body before it reads. The server
// answered, left the rest of the body unread and closed the connection half a
// second later. Closing with unread bytes is a reset: the caller's write failed
// before it had looked at the refusal. Here the refusal goes out at once, and the body is read and
// forgotten until the caller has written it or the bounds are reached.
func ReadOff(w http.ResponseWriter, r *http.Request) func() {
	short := r.ContentLength >= 0 && r.ContentLength <= readByServer
	// Who asks first sends no body after a refusal.
	if short || r.Header.Get("Expect") != "" {
		return func() {}
	}
	control := http.NewResponseController(w)
	// Otherwise the server reads from the body before it sends the head. Neither
	// this nor the deadline is there in tests without a connection.
	_ = control.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	return func() {
		if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(maxTime)) != nil {
			return
		}
		// Whatever ends it, the refusal has been sent.
		_, _ = io.CopyN(io.Discard, r.Body, maxBytes)
	}
}
