package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/onsi/gomega"
)

// sendKeyed sends a request for each key, one after the other.
func sendKeyed(t *testing.T, p *Pool, addr string, keys ...string) {
	t.Helper()
	g := gomega.NewWithT(t)
	for _, key := range keys {
		conn, err := p.GetFor(t.Context(), addr, key)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(conn.Send(t.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})).To(gomega.Succeed())
		resp, err := conn.Receive(http.MethodGet)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// Guards against a connection that carries a request twice, and against a new one where an idle one hasn't carried it.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	many := make([]string, 2*maxConnRequests)
	for i := range many {
		many[i] = strconv.Itoa(i)
	}
	for name, c := range map[string]struct {
		keys        []string
		connections int
	}{
		"different requests":          {[]string{"a", "b", "c", "d"}, 1},
		"one twice":                   {[]string{"a", "a"}, 2},
		"one twice, others between":   {[]string{"a", "b", "c", "a"}, 2},
		"others after one came again": {[]string{"a", "a", "b", "c", "d"}, 2},
		"two twice":                   {[]string{"a", "b", "a", "b"}, 2},
		"one three times":             {[]string{"a", "a", "a"}, 3},
		"more than it can know":       {many, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			addr, accepted := rawServer(t, func(conn net.Conn, in *bufio.Reader) {
				for readRequest(in) {
					_, _ = io.WriteString(conn, okResponse("ok"))
				}
			})
			sendKeyed(t, NewPool(Options{}), addr, c.keys...)
			g.Expect(accepted.Load()).To(gomega.BeNumerically("==", c.connections), "connections")
		})
	}
}
