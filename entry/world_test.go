package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/entry"
	"github.com/pearyard/pearyard/explain"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/soak"
	"github.com/pearyard/pearyard/standin/nursery"
)

// world is one entry process before stand-ins: a proxy in front of it, one in
// front of each backend server.
type world struct {
	t       *testing.T
	store   *nursery.Store
	cloud   *nursery.Cloud
	servers []*nursery.Server
	links   []*soak.Proxy // to the servers
	front   *soak.Proxy   // to the process
	entry   *entry.Entry
	callers string
	ready   string
	logs    lockedBuffer
	stop    context.CancelFunc // what SIGTERM does
	ended   chan struct{}
}

// lockedBuffer is a process's standard output.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// slowGap makes a stream last for two seconds, longer than what a test does
// with it takes on a busy machine; fastGap makes it a fifth of one.
const (
	slowGap = 50 * time.Millisecond
	fastGap = 4 * time.Millisecond
)

const testHost = "reasons.example"

// testRoute is a route of the world's configuration.
func testRoute(path, kind, more string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"routeType":%q,"service":"s","targetLatencyMs":300,%s}`, path, testHost, path, kind, more)
}

var testRoutes = []string{
	testRoute("/stream/", "streaming", `"maxAttempts":1,"timeoutMs":8000`),
	testRoute("/stream/again/", "streaming", `"maxAttempts":5,"streamResume":true,"timeoutMs":8000`),
	testRoute("/stream/short/", "streaming", `"maxAttempts":1,"timeoutMs":1000`),
	testRoute("/once/", "non_idempotent", `"maxAttempts":1,"timeoutMs":8000`),
	testRoute("/large/", "idempotent", `"maxAttempts":1,"timeoutMs":8000`),
}

// configure writes a version of the configuration.
func (w *world) configure(version int, keys string, routes ...string) {
	w.store.Put("op", "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[%s],"services":[{"name":"s","healthPath":"/healthz"}],"limits":{"maxBodyBytes":1000},"tenants":[{"name":"o","apiKeys":[%s]}]}`,
		version, strings.Join(routes, ","), keys))
}

// newWorld starts a world with servers of the service; configured or not.
func newWorld(t *testing.T, servers int, change func(*platform.Settings)) *world {
	t.Helper()
	t.Parallel()
	g := gomega.NewWithT(t)
	store, err := nursery.NewStore()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	w := &world{t: t, store: store, cloud: nursery.NewCloud(store), ended: make(chan struct{})}
	for range servers {
		w.addServer("s")
	}
	ip := fmt.Sprintf("127.0.93.%d", worlds.Add(1))
	addresses := free(t, ip, 3)
	w.callers, w.ready = addresses[0], addresses[1]
	w.front, err = soak.NewProxy(w.callers)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(w.front.Close)
	settings := platform.Settings{
		Name: "edge-1", Zone: "a", IP: ip, Callers: w.callers, Ready: w.ready, Peers: addresses[2], Store: store.Address,
		Grace: 2 * time.Second, LeaveWithin: 2 * time.Second, ConfigWithin: 2 * time.Second,
		RetryRatio: 0.8, RetryExtra: 150, RetryWindow: 10 * time.Second, AddressReuse: 2 * time.Second,
	}
	if change != nil {
		change(&settings)
	}
	w.entry, err = entry.New(entry.Options{Settings: settings, Logger: log.NewLogfmtLogger(log.NewSyncWriter(&w.logs))})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var ctx context.Context
	ctx, w.stop = context.WithCancel(t.Context())
	go func() {
		defer close(w.ended)
		if err := w.entry.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { w.stop(); <-w.ended })
	return w
}

// serving starts a world that is ready to serve.
func serving(t *testing.T, servers int, change func(*platform.Settings)) *world {
	t.Helper()
	w := newWorld(t, servers, change)
	w.configure(1, `"k0","k1"`, testRoutes...)
	gomega.NewWithT(t).Eventually(w.isReady, "10s", "10ms").Should(gomega.BeTrue())
	return w
}

func (w *world) isReady() bool {
	resp, err := http.Get("http://" + w.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// listens tells whether callers can connect.
func (w *world) listens() bool {
	conn, err := net.Dial("tcp4", w.callers)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (w *world) addServer(service string) {
	var link *soak.Proxy
	server, err := w.cloud.NewServer(service, "a", func(own string) string {
		var err error
		if link, err = soak.NewProxy(own); err != nil {
			w.t.Fatal(err)
		}
		return link.Address
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { link.Close(); server.Crash() })
	server.EventGap.Store(int64(slowGap))
	w.servers, w.links = append(w.servers, server), append(w.links, link)
}

// worlds numbers the worlds: each has an address of its own on loopback, so
// that those beside each other take no port from one another.
var worlds atomic.Int64

// free returns addresses that are free on ip. They are held until all are
// found: one that is given back may be found again.
func free(t *testing.T, ip string, n int) []string {
	var found []string
	for range n {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		found = append(found, l.Addr().String())
	}
	return found
}

// caller is one request as its caller sees it.
type caller struct {
	id     string
	conn   net.Conn
	reader *bufio.Reader
	Status int
	Header http.Header
	Lines  int   // of the body
	Bytes  int64 // of the rest
	Err    error // nil: the answer came whole
	body   *bufio.Reader
}

// ask is a request to send.
type ask struct {
	id, path, key string
	wait          time.Duration
	body          int
	direct        bool   // past the proxy in front of the process
	more          string // further lines of the head
}

// send sends a request through the proxy in front of the process.
func (w *world) send(a ask) *caller {
	w.t.Helper()
	address := w.front.Address
	if a.direct {
		address = w.callers
	}
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	c := &caller{id: a.id, conn: conn, reader: bufio.NewReader(conn)}
	if a.key == "" {
		a.key = "k0"
	}
	if a.wait == 0 {
		a.wait = 20 * time.Second
	}
	_, c.Err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n%sContent-Length: %d\r\n\r\n%s",
		a.path, testHost, a.id, a.wait.Milliseconds(), a.key, a.more, a.body, strings.Repeat("b", a.body))
	return c
}

// head reads the head of the answer.
func (c *caller) head() *caller {
	if c.Err != nil {
		return c
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.Err = err
		return c
	}
	c.Status, c.Header, c.body = resp.StatusCode, resp.Header, bufio.NewReader(resp.Body)
	return c
}

// events reads n lines of the body.
func (c *caller) events(n int) *caller {
	for ; n > 0 && c.Err == nil; n-- {
		if _, c.Err = c.body.ReadString('\n'); c.Err == nil {
			c.Lines++
		}
	}
	return c
}

// rest reads to the end of the answer.
func (c *caller) rest() *caller {
	if c.Err != nil {
		return c
	}
	if c.body == nil {
		c.head()
	}
	if c.Err == nil {
		c.Bytes, c.Err = c.body.WriteTo(discard{})
	}
	return c
}

type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// lastLine waits for a line about a request that names what ended it.
func (w *world) lastLine(id string) explain.Line {
	w.t.Helper()
	var last explain.Line
	gomega.NewWithT(w.t).Eventually(func() string {
		for _, l := range w.lines() {
			if l.Fields["request"] == id {
				last = l
			}
		}
		return last.Fields["ended_by"]
	}, "5s", "5ms").ShouldNot(gomega.BeEmpty(), "%s: last line %v", id, &last)
	return last
}

func (w *world) lines() []explain.Line {
	lines, err := explain.Read(strings.NewReader(w.logs.text()))
	if err != nil {
		w.t.Fatal(err)
	}
	return lines
}

// count returns how many requests the metrics say were ended by a side.
func (w *world) count(by string) int {
	families, err := w.entry.Metrics().Gather()
	if err != nil {
		w.t.Fatal(err)
	}
	n := 0.0
	for _, f := range families {
		if f.GetName() != "pearyard_exchange_requests_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetName() == "ended_by" && l.GetValue() == by {
					n += m.GetCounter().GetValue()
				}
			}
		}
	}
	return int(n)
}

// startOf is how lines name the process that a server runs as.
func startOf(s *nursery.Server) string {
	return directory.Start{ID: s.ID(), Born: s.Born()}.String()
}
