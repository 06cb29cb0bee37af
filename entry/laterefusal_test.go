package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/platform"
)

// fullServer has few places. It refuses what comes while they are taken and, if repeats is set,
// writes each refusal once more where the next answer on the connection is expected.
type fullServer struct {
	places  int
	repeats bool

	mu   sync.Mutex
	busy int
	late map[net.Conn]string // refusals to be written again
	ran  map[string]int      // runs by request
}

func newFullServer(places int, repeats bool) *fullServer {
	return &fullServer{places: places, repeats: repeats, late: map[net.Conn]string{}, ran: map[string]int{}}
}

// take takes a place for a request. It returns what the connection owes from its last refusal.
func (f *fullServer) take(conn net.Conn, id string) (taken bool, late string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	late = f.late[conn]
	delete(f.late, conn)
	if f.busy == f.places {
		if f.repeats {
			f.late[conn] = refusalOf(id)
		}
		return false, late
	}
	f.busy++
	f.ran[id]++
	return true, late
}

func (f *fullServer) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy--
}

func refusalOf(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: full\r\nContent-Length: 5\r\n\r\nfull\n", id)
}

// respond refuses a request or streams two events.
func (f *fullServer) respond(conn net.Conn, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	taken, late := f.take(conn, id)
	_, _ = io.WriteString(conn, late)
	if !taken {
		_, _ = io.WriteString(conn, refusalOf(id))
		return
	}
	defer f.leave()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for n := range 2 {
		time.Sleep(20 * time.Millisecond)
		event := fmt.Sprintf("id: %d\ndata: x\n\n", n+1)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// Guards against a second, late refusal that lets a stream run twice, and against refusing streams for which a place is free soon.
func TestStreamsThatMustRunOnceBesideLateRefusals(t *testing.T) {
	const clumps, clump = 10, 8
	g := gomega.NewWithT(t)
	servers := []*fullServer{newFullServer(3, true), newFullServer(3, false)}
	env := newTestEnv(t, 0, func(s *platform.Settings) { s.RetryExtra = 4000 }) // a process that has just started has a small share
	for _, s := range servers {
		env.addRawServer(s.respond)
	}
	env.configure(1, `"k0"`, testRoutes...)
	g.Eventually(env.isReady, "10s", "10ms").Should(gomega.BeTrue())
	// With several processes, the connection of a refusal is the one that its process uses next.
	entries := []*testEnv{env, env.startPeer("edge-2"), env.startPeer("edge-3"), env.startPeer("edge-4")}
	var callers []*testCaller
	for i := range clumps {
		for j := range clump {
			callers = append(callers, entries[j%len(entries)].send(testRequest{id: fmt.Sprintf("r-%d-%d", i, j), path: "/stream/1"}))
		}
		time.Sleep(150 * time.Millisecond)
	}
	served := 0
	for _, c := range callers {
		c.readRest()
		g.Expect(c.Err).NotTo(gomega.HaveOccurred())
		runs := 0
		for _, s := range servers {
			s.mu.Lock()
			runs += s.ran[c.id]
			s.mu.Unlock()
		}
		if c.Status == http.StatusOK {
			served++
			g.Expect(runs).To(gomega.Equal(1), "runs of %s", c.id)
		} else {
			g.Expect(runs).To(gomega.BeZero(), "runs of %s, which was refused", c.id)
		}
	}
	g.Expect(served).To(gomega.Equal(clumps*clump), "streams served; a place is free after 40 ms, they have 8 s")
}
