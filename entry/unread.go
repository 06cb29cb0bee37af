package entry

import (
	"io"
	"net/http"
	"time"
)

const (
	// readByServer is what net/http reads of a body that its handler has left.
	readByServer = 256 << 10
	// readOffBytes is how much of a body is read that nobody wants: four times the
	// largest that configurations allow.
	readOffBytes = 16 << 20
	// readOffTime bounds it: 4 MB take 0.4 s at 100 Mbit/s.
	readOffTime = 2 * time.Second
)

// readOff lets a request be refused whose body has not been read to its end. It
// is called before the refusal is written, and what it returns after it.
//
// Failure it stops: a caller writes all of its body before it reads. The server
// answered, left the rest of the body unread and closed the connection half a
// second later. Closing with unread bytes is a reset: the caller's write failed
// before it had looked at the refusal (9 of 36 bodies of 2 KB to 12 MB on
// loopback, all of them of 4 MB or more). Here the refusal goes out at once, and
// the body is read and forgotten until the caller has written it or the bounds
// are reached.
func readOff(w http.ResponseWriter, r *http.Request) func() {
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
		if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(readOffTime)) != nil {
			return
		}
		// Whatever ends it, the refusal has been sent.
		_, _ = io.CopyN(io.Discard, r.Body, readOffBytes)
	}
}
