// Package lab starts a small deployment on loopback for the cases of the review: the project's
// stand-in of the platform's store, runners of its own, and the project's entry program as
// separate processes. It records what was sent, answered and run.
package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Host is the host of all routes, Key the key of the only organisation.
const (
	Host = "lab.example"
	Key  = "key-of-org"
	Org  = "org"
)

const (
	startTimeout = 15 * time.Second
	grace        = 8 * time.Second
)

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Site is one deployment.
type Site struct {
	Store   *nursery.Store
	Entries []*Entry

	dir    string
	root   string // of the repository
	began  time.Time
	mu     sync.Mutex
	record *os.File
	ports  map[int]bool
}

// New starts a store. The record is written to record.txt in caseDir. root is the root of the
// repository.
func New(root, caseDir string) (*Site, error) {
	store, err := nursery.NewStore()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "pearyard-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Site{Store: store, dir: dir, root: root, began: time.Now(), record: record, ports: map[int]bool{}}, nil
}

// Since returns the time since the site began.
func (s *Site) Since() time.Duration { return time.Since(s.began) }

// Note writes one line to the record.
func (s *Site) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to the output.
func (s *Site) Say(format string, args ...any) {
	s.Note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Configure writes a configuration. routes and services are JSON objects.
func (s *Site) Configure(version int, routes, services []string) {
	s.Store.Put("op", "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":5000,"idleTimeoutMs":10000},"tenants":[{"name":%q,"apiKeys":[%q]}]}`,
		version, strings.Join(routes, ","), strings.Join(services, ","), Org, Key))
}

// Route returns a route as JSON; more holds further fields.
func Route(name, prefix, kind, service, more string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"routeType":%q,"service":%q,%s}`, name, Host, prefix, kind, service, more)
}

// Service returns a service as JSON; more holds further fields and may be empty.
func Service(name, more string) string {
	if more != "" {
		more = "," + more
	}
	return fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":360%s}`, name, more)
}

// Entry is one process of the entry program.
type Entry struct {
	Name    string
	Callers string // ip:port for callers
	ready   string
	path    string // of the settings
	site    *Site

	store *Door

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Door is what a machine sees of the store.
type Door struct {
	Address string
	Closed  atomic.Bool // the store turns the machine away with 503
	server  *http.Server
}

// newDoor returns an open door to the store.
func (s *Site) newDoor() (*Door, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Door{Address: l.Addr().String()}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.Store.Address})
	forward.ErrorLog = log.New(io.Discard, "", 0)
	d.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.Closed.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		forward.ServeHTTP(w, r)
	})}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// TurnAway makes the store turn the machine away, or serve it again.
func (e *Entry) TurnAway(away bool) { e.store.Closed.Store(away) }

// FreePort returns a port that is free on an address.
func (s *Site) freePort(ip string) (int, error) {
	for {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if !s.ports[port] {
			s.ports[port] = true
			return port, nil
		}
	}
}

// StartEntries starts n entry processes and waits until they are ready. bounds is added to the
// bounds of the settings, and may be empty.
func (s *Site) StartEntries(n int, zones []string, bounds string) error {
	firstPeer, err := s.freePort("127.0.0.1")
	if err != nil {
		return err
	}
	ip := func(i int) string { return fmt.Sprintf("127.0.61.%d", 10+i) }
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip(i), firstPeer)))
	}
	for i := range n {
		frontend, err := s.freePort(ip(i))
		if err != nil {
			return err
		}
		ready, err := s.freePort(ip(i))
		if err != nil {
			return err
		}
		e := &Entry{Name: fmt.Sprintf("edge-%d", i+1), Callers: fmt.Sprintf("%s:%d", ip(i), frontend), ready: fmt.Sprintf("%s:%d", ip(i), ready), site: s}
		e.path = filepath.Join(s.dir, e.Name+".yaml")
		if e.store, err = s.newDoor(); err != nil {
			return err
		}
		settings := fmt.Sprintf(`{nodeName: %q, role: entry, machineClass: edge, ip: %q, zone: %q, listen: {frontend: %q, ready: %q}, internalPortRange: [%d, %d], seedNodes: [%s],
bootstrap: true, limits: {cpuQuota: 0.304, memoryMb: 134, maxFds: 4100}, heartbeatMs: 1200, platform: {address: %q, form: table, readsPerS: 2000, writesPerS: 400},
bounds: {seedLagS: 3, addressReuseS: 2, contactMs: 3000, drainTimeoutMs: 2000, gracePeriodS: %v, configApplyMs: 2000, retryBudgetRatio: 0.8, retryWindowS: 10, retryMinExtra: 150%s}}
`, e.Name, ip(i), zones[i%len(zones)], e.Callers, e.ready, firstPeer, firstPeer+15, strings.Join(seeds, ", "), e.store.Address, grace.Seconds(), bounds)
		if err := os.WriteFile(e.path, []byte(settings), 0o600); err != nil {
			return err
		}
		s.Entries = append(s.Entries, e)
		if err := e.Start(); err != nil {
			return err
		}
	}
	for _, e := range s.Entries {
		if !e.AwaitReady(startTimeout) {
			return fmt.Errorf("%s is not ready after %v", e.Name, startTimeout)
		}
	}
	s.Note("%d entry processes are ready", n)
	return nil
}

// Start starts the process with the command of the deploy file.
func (e *Entry) Start() error {
	output, err := os.OpenFile(e.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(filepath.Join(e.site.root, "target", "pearyard-entry"))
	cmd.Dir = e.site.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PEARYARD_SETTINGS=" + e.path}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd, e.done = cmd, done
	return nil
}

// PID returns the id of the newest process.
func (e *Entry) PID() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd.Process.Pid
}

// Ended reports whether the newest process has ended.
func (e *Entry) Ended() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (e *Entry) Kill() {
	e.mu.Lock()
	cmd, done := e.cmd, e.done
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// AwaitReady waits until the readiness check answers with 200.
func (e *Entry) AwaitReady(within time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/pearyard/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Log returns what the process has written.
func (e *Entry) Log() string {
	raw, _ := os.ReadFile(e.path + ".log")
	return string(raw)
}

// Close ends all processes and removes the temporary folder.
func (s *Site) Close() {
	for _, e := range s.Entries {
		e.Kill()
		if e.store != nil {
			_ = e.store.server.Close()
		}
	}
	s.Store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
	_ = s.record.Close()
}

// List writes a runner's entry to the store.
func (s *Site) List(id, service, zone, version, address string, born int64, slots int, state string) {
	raw, _ := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": zone, "version": version, "slots": slots, "state": state,
		"coldRemainingMs": 0, "seq": 1, "born": born,
	})
	s.Store.Put("servers", id, raw)
}

// Unlist removes a runner's entry.
func (s *Site) Unlist(id string) { s.Store.Remove("servers", id) }

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
