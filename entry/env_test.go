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

// testEnv is an entry process with simulated backend servers and store. There is a proxy
// in front of the process and one in front of each server.
type testEnv struct {
	t             *testing.T
	store         *nursery.Store
	cloud         *nursery.Cloud
	servers       []*nursery.Server
	serverProxies []*soak.Proxy // in front of the servers
	entryProxy    *soak.Proxy   // in front of the process
	entry         *entry.Entry
	callerAddr    string
	readyAddr     string
	peerAddr      string                   // for other entry processes
	change        func(*platform.Settings) // of the settings of all processes; nil: none
	logs          lockedBuffer
	stop          context.CancelFunc // begins a planned stop, as SIGTERM does
	ended         chan struct{}
}

// lockedBuffer collects the standard output of the process.
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

// Times between events. With slowGap a stream takes two seconds, longer than what a test
// does with it takes on a busy machine; with fastGap it takes a fifth of a second.
const (
	slowGap = 50 * time.Millisecond
	fastGap = 4 * time.Millisecond
)

const testHost = "entry.example"

// testRoute returns a route in the format of the configuration.
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

// configure writes a version of the configuration to the store.
func (env *testEnv) configure(version int, keys string, routes ...string) {
	env.store.Put("op", "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[%s],"services":[{"name":"s","healthPath":"/healthz"}],"limits":{"maxBodyBytes":1000},"tenants":[{"name":"o","apiKeys":[%s]}]}`,
		version, strings.Join(routes, ","), keys))
}

// newTestEnv starts an environment with servers of service s and without a configuration. The
// test runs beside others.
func newTestEnv(t *testing.T, servers int, change func(*platform.Settings)) *testEnv {
	t.Helper()
	t.Parallel()
	return newSerialTestEnv(t, servers, change)
}

// newSerialTestEnv is newTestEnv for a test that would slow others down.
func newSerialTestEnv(t *testing.T, servers int, change func(*platform.Settings)) *testEnv {
	t.Helper()
	g := gomega.NewWithT(t)
	store, err := nursery.NewStore()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	env := &testEnv{t: t, store: store, cloud: nursery.NewCloud(store), change: change, ended: make(chan struct{})}
	for range servers {
		env.addServer("s")
	}
	env.startEntry("edge-1", change)
	return env
}

// startPeer starts another entry process in front of the same servers.
func (env *testEnv) startPeer(name string) *testEnv {
	env.t.Helper()
	peer := &testEnv{t: env.t, store: env.store, cloud: env.cloud, servers: env.servers, serverProxies: env.serverProxies, ended: make(chan struct{})}
	peer.startEntry(name, func(s *platform.Settings) {
		if env.change != nil {
			env.change(s)
		}
		s.Seeds = []string{env.peerAddr}
	})
	gomega.NewWithT(env.t).Eventually(peer.isReady, "10s", "10ms").Should(gomega.BeTrue())
	return peer
}

// startEntry starts the process of an environment.
func (env *testEnv) startEntry(name string, change func(*platform.Settings)) {
	env.t.Helper()
	t, g := env.t, gomega.NewWithT(env.t)
	ip := fmt.Sprintf("127.0.93.%d", envCount.Add(1))
	addresses := freeAddresses(t, ip, 3)
	env.callerAddr, env.readyAddr, env.peerAddr = addresses[0], addresses[1], addresses[2]
	var err error
	env.entryProxy, err = soak.NewProxy(env.callerAddr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(env.entryProxy.Close)
	settings := platform.Settings{
		Name: name, Zone: "a", IP: ip, Callers: env.callerAddr, Ready: env.readyAddr, Peers: env.peerAddr, Store: env.store.Address,
		Grace: 2 * time.Second, LeaveWithin: 2 * time.Second, ConfigWithin: 2 * time.Second,
		RetryRatio: 0.8, RetryExtra: 150, RetryWindow: 10 * time.Second, AddressReuse: 2 * time.Second,
	}
	if change != nil {
		change(&settings)
	}
	env.entry, err = entry.New(entry.Options{Settings: settings, Logger: log.NewLogfmtLogger(log.NewSyncWriter(&env.logs))})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var ctx context.Context
	ctx, env.stop = context.WithCancel(t.Context())
	go func() {
		defer close(env.ended)
		if err := env.entry.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { env.stop(); <-env.ended })
}

// startServing starts an environment with a configuration and waits until it is ready.
func startServing(t *testing.T, servers int, change func(*platform.Settings)) *testEnv {
	t.Helper()
	env := newTestEnv(t, servers, change)
	env.configure(1, `"k0","k1"`, testRoutes...)
	gomega.NewWithT(t).Eventually(env.isReady, "10s", "10ms").Should(gomega.BeTrue())
	return env
}

func (env *testEnv) isReady() bool {
	resp, err := http.Get("http://" + env.readyAddr + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// listens reports whether callers can connect.
func (env *testEnv) listens() bool {
	conn, err := net.Dial("tcp4", env.callerAddr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// addServer starts a backend server with a proxy in front of it.
func (env *testEnv) addServer(service string) { env.addServerOfVersion(service, "v1") }

func (env *testEnv) addServerOfVersion(service, version string) {
	var link *soak.Proxy
	server, err := env.cloud.NewServerOfVersion(service, "a", version, func(own string) string {
		var err error
		if link, err = soak.NewProxy(own); err != nil {
			env.t.Fatal(err)
		}
		return link.Address
	})
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { link.Close(); server.Crash() })
	server.EventGap.Store(int64(slowGap))
	env.servers, env.serverProxies = append(env.servers, server), append(env.serverProxies, link)
}

// envCount numbers the environments. Each has a loopback address of its own, so that
// parallel tests don't take ports from one another.
var envCount atomic.Int64

// freeAddresses returns n free addresses on ip. All listeners stay open until the last one is
// found; otherwise the same port might be returned twice.
func freeAddresses(t *testing.T, ip string, n int) []string {
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

// testCaller is a request and what its caller receives.
type testCaller struct {
	id     string
	conn   net.Conn
	reader *bufio.Reader
	Status int
	Header http.Header
	Lines  int   // lines of the body read by readLines
	Bytes  int64 // bytes of the body read by readRest
	Err    error // nil if the response is complete
	body   *bufio.Reader
}

// testRequest is a request to send.
type testRequest struct {
	id, path, key string
	timeout       time.Duration
	body          int    // bytes
	direct        bool   // bypasses the proxy in front of the process
	extraHeader   string // further header lines
}

// send sends a request without reading the response.
func (env *testEnv) send(r testRequest) *testCaller {
	env.t.Helper()
	address := env.entryProxy.Address
	if r.direct {
		address = env.callerAddr
	}
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = conn.Close() })
	c := &testCaller{id: r.id, conn: conn, reader: bufio.NewReader(conn)}
	if r.key == "" {
		r.key = "k0"
	}
	if r.timeout == 0 {
		r.timeout = 20 * time.Second
	}
	_, c.Err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n%sContent-Length: %d\r\n\r\n%s",
		r.path, testHost, r.id, r.timeout.Milliseconds(), r.key, r.extraHeader, r.body, strings.Repeat("b", r.body))
	return c
}

// readHead reads the head of the response.
func (c *testCaller) readHead() *testCaller {
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

// readLines reads n lines of the body.
func (c *testCaller) readLines(n int) *testCaller {
	for ; n > 0 && c.Err == nil; n-- {
		if _, c.Err = c.body.ReadString('\n'); c.Err == nil {
			c.Lines++
		}
	}
	return c
}

// readRest reads to the end of the response.
func (c *testCaller) readRest() *testCaller {
	if c.Err != nil {
		return c
	}
	if c.body == nil {
		c.readHead()
	}
	if c.Err == nil {
		c.Bytes, c.Err = c.body.WriteTo(discard{})
	}
	return c
}

type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// lastLine waits until the last log line of a request names what ended it, and returns
// the line.
func (env *testEnv) lastLine(id string) explain.Line {
	env.t.Helper()
	var last explain.Line
	gomega.NewWithT(env.t).Eventually(func() string {
		for _, l := range env.lines() {
			if l.Fields["request"] == id {
				last = l
			}
		}
		return last.Fields["ended_by"]
	}, "5s", "5ms").ShouldNot(gomega.BeEmpty(), "%s: last line %v", id, &last)
	return last
}

// lines returns the log of the process.
func (env *testEnv) lines() []explain.Line {
	lines, err := explain.Read(strings.NewReader(env.logs.text()))
	if err != nil {
		env.t.Fatal(err)
	}
	return lines
}

// endedCount returns how many requests were ended for a reason, by the metrics.
func (env *testEnv) endedCount(by string) int {
	families, err := env.entry.Metrics().Gather()
	if err != nil {
		env.t.Fatal(err)
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

// startName returns the name that log lines give to the running process of a server.
func startName(s *nursery.Server) string {
	return directory.Start{ID: s.ID(), Born: s.StartMillis()}.String()
}
