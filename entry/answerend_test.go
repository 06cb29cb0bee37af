package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const uploadBytes = 8 << 20

// configureUploads allows long bodies.
func (env *testEnv) configureUploads() {
	env.store.Put("op", "config", fmt.Appendf(nil,
		`{"version":1,"routes":[%s],"services":[{"name":"s","healthPath":"/healthz"}],"limits":{"maxBodyBytes":%d},"tenants":[{"name":"o","apiKeys":["k0"]}]}`,
		strings.Join(testRoutes, ","), 2*uploadBytes))
}

// Guards against a part of an answer that a caller gets as the whole one, because its server reset
// the connection while the request was being written.
func TestAnswerCutByAResetDuringTheUploadIsNotPassedOnAsWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	env := newTestEnv(t, 0, nil)
	env.addConnServer(func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: x\r\nConnection: close\r\n\r\npart", r.Header.Get("Attempt-Id"))
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	env.configureUploads()
	g.Eventually(env.isReady, "10s", "10ms").Should(gomega.BeTrue())
	for i := range 20 {
		for _, path := range []string{"/once/1", "/large/1"} {
			c := env.send(testRequest{id: fmt.Sprint(path, i), path: path, body: uploadBytes}).readHead()
			if c.Err != nil {
				continue
			}
			body, err := io.ReadAll(c.body)
			g.Expect(c.Status == http.StatusOK && err == nil).To(gomega.BeFalse(), "%s: %d with %q as the whole body", path, c.Status, body)
		}
	}
}
