package router_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// A backend server accepts requests and closes the connection before the first frame
// each time, until the router gives up. The request may have run there, so the outcome
// must not be "not run".
func TestConnectionLostBeforeFirstFrameIsUnknown(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1024))
			_ = conn.Close()
		}
	}()
	address := listener.Addr().String()
	url := newRouter(t, address, "127.0.0.1:1")

	req, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(`{"model":"pear","prompt":"p","max_tokens":5}`))
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Pearyard-Outcome")).To(Equal("unknown"))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
}
