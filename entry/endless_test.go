package entry_test

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// liveHeap returns the bytes that are reachable, the least of three samples: other tests run beside.
func liveHeap() int64 {
	least := int64(math.MaxInt64)
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		least = min(least, int64(m.HeapAlloc))
	}
	return least
}

// Guards against a process that runs out of memory because a server sends without end on all of its connections.
func TestManyEndlessBodiesFitTheProcess(t *testing.T) {
	const callers = 150
	// allowed leaves most of the smallest VMs, which have 112 MB, to the rest of the process.
	const allowed = 40 << 20
	g := gomega.NewWithT(t)
	part := strings.Repeat("x", 32<<10)
	var status, open atomic.Int64
	env := newSerialTestEnv(t, 0, nil)
	env.addRawServer(func(conn net.Conn, r *http.Request) {
		open.Add(1)
		defer open.Add(-1)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %d S\r\nAttempt-Id: %s\r\nResponse-Signature: x\r\nTransfer-Encoding: chunked\r\n\r\n", status.Load(), r.Header.Get("Attempt-Id"))
		for range 32 {
			if err == nil {
				_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
			}
		}
		// More would only fill the buffers of the connections.
		_, _ = conn.Read(make([]byte, 1))
	})
	env.configure(1, `"k0"`, testRoutes...)
	g.Eventually(env.isReady, "10s", "10ms").Should(gomega.BeTrue())
	for _, of := range []int64{200, 500} {
		for _, path := range []string{"/once/1", "/large/1", "/stream/1"} {
			name := fmt.Sprint(of, path)
			status.Store(of)
			before := liveHeap()
			var list []*testCaller
			for i := range callers {
				list = append(list, env.send(testRequest{id: fmt.Sprint(name, i), path: path, direct: true}))
			}
			time.Sleep(500 * time.Millisecond) // nobody reads
			grown := liveHeap() - before
			t.Logf("%s: live heap grew by %d MB, %d connections of the server are open", name, grown>>20, open.Load())
			g.Expect(grown).To(gomega.BeNumerically("<", allowed), name)
			for _, c := range list {
				_ = c.conn.Close()
			}
			g.Eventually(open.Load, "1s", "10ms").Should(gomega.BeZero(), "%s: connections of the server that are open although the callers have left", name)
		}
	}
}
