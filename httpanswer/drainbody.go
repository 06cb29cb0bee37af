package httpanswer

import (
	"io"
	"net/http"
	"time"
)

const (
	// serverDrainBytes is how much of an unread body net/http itself reads after the
	// handler returns.
	serverDrainBytes = 256 << 10
	// maxDrainBytes bounds how much of an unread body is read: four times the largest body
	// that the configuration of entry VMs allows, twice the router's default.
	maxDrainBytes = 16 << 20
	// maxDrainTime bounds the time for that: 4 MB take a third of a second at 100 Mbit/s.
	maxDrainTime = 2 * time.Second
)

// DrainBody allows a request to be refused before its body has been read. Call it before the
// refusal is written, and the function it returns afterwards.
//
// It guards against callers that lose the response: many write the whole body before they
// read. The server used to respond, leave the rest of the body unread and close the
// connection half a second later. Closing a connection with unread bytes resets it, so the
// caller's write failed before it had read the refusal. Here the refusal is sent at once,
// and the body is read and discarded until its end or until a limit is reached.
func DrainBody(w http.ResponseWriter, r *http.Request) func() {
	short := r.ContentLength >= 0 && r.ContentLength <= serverDrainBytes
	// A caller that waits for 100 Continue sends no body after a refusal.
	if short || r.Header.Get("Expect") != "" {
		return func() {}
	}
	control := http.NewResponseController(w)
	// Without full duplex the server reads from the body before it sends the header.
	// Neither full duplex nor the deadline is supported by the response writers of tests
	// without a connection, so errors are ignored.
	_ = control.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	return func() {
		if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(maxDrainTime)) != nil {
			return
		}
		// Errors don't matter: the refusal has been sent.
		_, _ = io.CopyN(io.Discard, r.Body, maxDrainBytes)
	}
}
