package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a signal that comes before the process handles it and resets the connections of its listener.
func TestStopDuringTheStartAnswersWhoIsConnected(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 1)
	vm := site.VMs[0]
	for n := range 20 {
		vm.kill()
		g.Expect(vm.start()).To(gomega.Succeed())
		conn := dialUntilAccepted(vm)
		_, err := fmt.Fprintf(conn, "GET /any/a%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: a%d\r\nAuthorization: Token k0\r\n\r\n", n, host, n)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		vm.requestEnd()
		vm.signal(syscall.SIGTERM)
		_ = conn.SetReadDeadline(time.Now().Add(callTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "start %d", n)
		_ = resp.Body.Close()
		_ = conn.Close()
	}
}

// dialUntilAccepted connects to a VM as soon as it listens.
func dialUntilAccepted(vm *VM) net.Conn {
	for {
		if conn, err := net.Dial("tcp4", vm.CallerAddress); err == nil {
			return conn
		}
	}
}
