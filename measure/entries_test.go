package measure

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/entry"
	"github.com/pearyard/pearyard/standin/nursery"
)

const (
	programEntry = "pearyard-entry"
	entryHost    = "faces.example" // host of the route in the configuration
	entryKey     = "k0"            // API key of the tenant in the configuration
	entryNet     = "127.0.78."     // entry VM i listens on the loopback address with i as its last number
)

// TestMain runs one of the measured programs if the binary was started under its name.
func TestMain(m *testing.M) {
	if code, ran := AsProgram(os.Args); ran {
		os.Exit(code)
	}
	if filepath.Base(os.Args[0]) == programEntry {
		os.Exit(entry.Main(os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// entrySite is a site of entry VMs as processes, with a stand-in for the platform.
type entrySite struct {
	store   *nursery.Store
	cloud   *nursery.Cloud
	servers []*nursery.Server
	entries []*process
	callers []string // addresses of the entry VMs for callers
	peers   []string // addresses of the entry VMs for each other, with their metrics

	mu     sync.Mutex             // guards writes
	writes map[string]*writeTimes // by request
}

// entryOptions configure an entrySite.
type entryOptions struct {
	servers, entries, length int           // length is the number of events of a stream
	gap                      time.Duration // between two events of a stream
	copies                   bool          // backend servers hold copies of streams on other servers
}

// startEntries starts the stand-ins of the platform and of the backend servers, and the
// entry VMs. The processes write their settings and logs to dir.
func startEntries(dir string, opts entryOptions) (*entrySite, error) {
	store, err := nursery.NewStore()
	if err != nil {
		return nil, err
	}
	s := &entrySite{store: store, cloud: nursery.NewCloud(store), writes: map[string]*writeTimes{}}
	s.cloud.Length, s.cloud.OnEvent = opts.length, s.recordWrite
	store.Put("op", "config", []byte(fmt.Sprintf(`{"version":1,"routes":[{"name":"stream","host":%q,"pathPrefix":"/stream/","routeType":"streaming","service":"llm",`+
		`"streamResume":true,"maxAttempts":5,"timeoutMs":60000,"targetLatencyMs":1000,"targetGapMs":700}],`+
		`"services":[{"name":"llm","healthPath":"/healthz","inferenceEngine":{"backups":%t,"moves":%t}}],`+
		`"limits":{"maxBodyBytes":1000000},"tenants":[{"name":"org","apiKeys":[%q]}]}`, entryHost, opts.copies, opts.copies, entryKey)))
	for i := range opts.servers {
		server, err := s.cloud.NewServer("llm", fmt.Sprintf("zone-%d", i%zoneCount+1), func(own string) string { return own })
		if err != nil {
			s.stop()
			return nil, err
		}
		server.EventGap.Store(int64(opts.gap))
		s.servers = append(s.servers, server)
	}
	if err := s.startAll(dir, opts.entries); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// startAll starts n entry VMs. All use the same ports, each on an address of its own.
func (s *entrySite) startAll(dir string, n int) error {
	port, err := freePort()
	if err != nil {
		return err
	}
	for i := range n {
		if err := s.startEntry(dir, i, port); err != nil {
			return err
		}
	}
	return nil
}

// freePort returns a port that is free on 127.0.0.1. The ports up to 21 above it, which
// startEntry uses too, are taken to be free.
func freePort() (int, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startEntry starts the entry VM with index i and waits until it is ready. It listens on
// port and the next ones for its peers, on port+20 for callers, and on port+21 for the
// check whether it is ready.
func (s *entrySite) startEntry(dir string, i, port int) error {
	ip, name := entryNet+strconv.Itoa(i+1), fmt.Sprintf("edge-%d", i+1)
	callers, ready := fmt.Sprintf("%s:%d", ip, port+20), fmt.Sprintf("%s:%d", ip, port+21)
	settings := fmt.Sprintf(`{nodeName: %q, ip: %q, zone: %q, listen: {frontend: %q, ready: %q}, internalPortRange: [%d, %d], seedNodes: ["%s1:%d"],
limits: {memoryMb: 512}, heartbeatMs: 1200, platform: {address: %q, readsPerS: 2000, writesPerS: 400},
bounds: {drainTimeoutMs: 2000, gracePeriodS: 3, configApplyMs: 2000, addressReuseS: 2, retryBudgetRatio: 0.2, retryWindowS: 10, retryMinExtra: 200}}
`, name, ip, fmt.Sprintf("zone-%d", i%zoneCount+1), callers, ready, port, port+9, entryNet, port+1, s.store.Address)
	path := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	p, err := runEntry(name, path, filepath.Join(dir, name+".log"))
	if err != nil {
		return err
	}
	s.entries = append(s.entries, p)
	s.callers, s.peers = append(s.callers, callers), append(s.peers, fmt.Sprintf("%s:%d", ip, port))
	return awaitEntry(p, ready)
}

// runEntry runs this binary as pearyard-entry with a settings file.
func runEntry(name, settings, logPath string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(self)
	cmd.Args[0] = programEntry
	cmd.Env = append(os.Environ(), "PEARYARD_SETTINGS="+settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// awaitEntry waits until an entry VM is ready for callers.
func awaitEntry(p *process, ready string) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && p.running(); time.Sleep(readyPoll) {
		resp, err := scraper.Get("http://" + ready + "/pearyard/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("measure: %s ended, or is not ready within %v", p.name, startTimeout)
}

func (s *entrySite) stop() {
	for _, p := range s.entries {
		p.kill()
	}
	for _, server := range s.servers {
		server.Crash()
	}
	s.store.Close()
}

// recordWrite records when a server wrote an event.
func (s *entrySite) recordWrite(request string, _ int) {
	s.mu.Lock()
	written := s.writes[request]
	if written == nil {
		written = &writeTimes{}
		s.writes[request] = written
	}
	s.mu.Unlock()
	written.mu.Lock()
	written.at = append(written.at, time.Now())
	written.mu.Unlock()
}

// delays returns how long each event of a request took from the server's write to the caller.
func (s *entrySite) delays(c *entryCall) []time.Duration {
	s.mu.Lock()
	written := s.writes[c.id]
	s.mu.Unlock()
	var out []time.Duration
	for i := warmupTokens; written != nil && i < min(len(written.at), len(c.arrivals)); i++ {
		out = append(out, c.arrivals[i].Sub(written.at[i]))
	}
	return out
}

// entryCall is one stream as observed by its caller.
type entryCall struct {
	id, address string
	arrivals    []time.Time
	failure     string // empty if the answer is complete and correct
}

// startCalls starts n streams, spread over ramp and over the addresses.
func startCalls(ctx context.Context, wait *sync.WaitGroup, name string, addresses []string, n, length int, ramp time.Duration) []*entryCall {
	client := &http.Client{Transport: newTransport()}
	var out []*entryCall
	for i := range n {
		c := &entryCall{id: fmt.Sprintf("%s-%d", name, i), address: addresses[i%len(addresses)]}
		out = append(out, c)
		wait.Go(func() {
			time.Sleep(ramp * time.Duration(i) / time.Duration(n))
			if err := c.run(ctx, client, length); err != nil {
				c.failure = err.Error()
			}
		})
	}
	return out
}

// run sends the request and compares each event with the one that the stand-in sends.
func (c *entryCall) run(ctx context.Context, client *http.Client, length int) error {
	target := "/stream/" + c.id
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+target, strings.NewReader("a prompt"))
	if err != nil {
		return err
	}
	req.Host, req.GetBody = entryHost, nil
	req.Header.Set("Attempt-Id", c.id)
	req.Header.Set("Deadline-Ms", "60000")
	req.Header.Set("Authorization", "Token "+entryKey)
	req.Header.Set("Token-Usage", "200,"+strconv.Itoa(length))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), dataPrefix)
		if !ok {
			continue
		}
		c.arrivals = append(c.arrivals, time.Now())
		if want := nursery.EventText(target, nursery.EventVersion(data), len(c.arrivals)); data != want {
			return errors.Errorf("event %q, expected %q", data, want)
		}
	}
	if scanner.Err() == nil && len(c.arrivals) != length {
		return errors.Errorf("%d events, expected %d", len(c.arrivals), length)
	}
	return scanner.Err()
}
