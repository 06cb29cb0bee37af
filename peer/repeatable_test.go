package peer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/peer"
)

// A process closes a reused connection with a call on it, because it ends or because it
// closes the connection after the previous response. A query is sent again and gets its
// response; a call that may run only once isn't sent a second time.
func TestQuestionOnAKeptConnectionThatEndsIsAskedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		mark  func(context.Context) context.Context
		calls int32
	}{
		"query":   {peer.Repeatable, 3},
		"command": {func(ctx context.Context) context.Context { return ctx }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 2 {
					conn, _, err := w.(http.Hijacker).Hijack()
					g.Expect(err).NotTo(HaveOccurred())
					_ = conn.Close()
					return
				}
				g.Expect(r.Header).NotTo(HaveKey("Idempotency-Key"))
				_, _ = io.Copy(w, r.Body)
			}))
			defer server.Close()
			client := newPeer("client", 1, nil).Client()
			send := func() (string, error) {
				req, _ := http.NewRequestWithContext(c.mark(t.Context()), http.MethodPost, server.URL, strings.NewReader("who?"))
				resp, err := client.Do(req)
				if err != nil {
					return "", err
				}
				defer func() { _ = resp.Body.Close() }()
				raw, err := io.ReadAll(resp.Body)
				return string(raw), err
			}
			g.Expect(send()).To(Equal("who?"))
			answer, err := send()
			g.Expect(calls.Load()).To(Equal(c.calls))
			if c.calls == 2 {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer).To(Equal("who?"))
		})
	}
}
