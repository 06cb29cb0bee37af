package lab

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is what was sent, answered and run, in the order in which it happened.
type Record struct {
	mu    sync.Mutex
	began time.Time
	out   *bufio.Writer
	file  *os.File

	crashes  []time.Time // of runners
	arrivals []time.Time // at runners, of requests that crash them
}

// NewRecord begins a record in a file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), out: bufio.NewWriter(f), file: f}, nil
}

// Add adds a line.
func (r *Record) Add(fields ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(fields, time.Now())
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), strings.Join(fields, " "))
}

// Close writes the record to its end.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Answer is the end of one client attempt. Status is 0 if there was no complete answer.
type Answer struct {
	Status    int
	Signature string
	Body      string
}

// Client sends requests over kept connections.
type Client struct {
	Host, Key string
	http      *http.Client
	record    *Record
}

// NewClient returns a client.
func NewClient(record *Record, host, key string) *Client {
	return &Client{Host: host, Key: key, record: record, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
}

// Send sends one client attempt to a node, with further headers as name and value by turns, and
// returns its end.
func (c *Client) Send(node, method, path string, body []byte, deadline time.Duration, header ...string) Answer {
	id := fmt.Sprintf("%016x", rand.Uint64())
	req, err := http.NewRequest(method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	req.Host = c.Host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if c.Key != "" {
		req.Header.Set("Authorization", "Token "+c.Key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	c.record.Add("sent", id, method, path, "to", node)
	client := *c.http
	client.Timeout = deadline
	resp, err := client.Do(req)
	if err != nil {
		c.record.Add("ended", id, "without an answer:", err.Error())
		return Answer{}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		c.record.Add("ended", id, "in its answer:", err.Error())
		return Answer{}
	}
	a := Answer{Status: resp.StatusCode, Signature: resp.Header.Get("Response-Signature"), Body: strings.TrimSpace(string(raw))}
	c.record.Add("answered", id, fmt.Sprint(a.Status), "signature="+a.Signature, "retry-after="+resp.Header.Get("Retry-After"), firstLine(a.Body))
	return a
}

// Node is one process of the system.
type Node struct {
	Name, Frontend, Ready string
	settings, log         string
	cmd                   *exec.Cmd
}

// NewNode writes the settings of a node. All nodes have the same ports at addresses of their
// own.
func NewNode(dir, name, ip, zone, store string, ports [3]int, seeds []string) (*Node, error) {
	n := &Node{Name: name, Frontend: fmt.Sprintf("%s:%d", ip, ports[0]), Ready: fmt.Sprintf("%s:%d", ip, ports[1]), settings: dir + "/" + name + ".yaml", log: dir + "/" + name + ".log"}
	var seed []string
	for _, s := range seeds {
		seed = append(seed, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s, ports[2]-1)))
	}
	text := fmt.Sprintf(`nodeName: %q
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: %q
zone: %q
region: "tayside"
zones: {%s: "tayside"}
listen: {frontend: %q, ready: %q, controlPlane: %q}
internalPortRange: [%d, %d]
seedNodes: [%s]
bootstrap: true
limits: {cpuQuota: 0.304, cpuCores: 1, memoryMb: 134, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entryPoint: "virtual_ip"
heartbeatMs: 1200
bounds: {seedLagS: 3, addressReuseS: 2, contactMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainTimeoutMs: 2000, gracePeriodS: 8, lossSlackMs: 200, configApplyMs: 2000, downgradeSlackMs: 250, maxSkewMs: 5000, retryBudgetRatio: 0.8, retryWindowS: 10, retryMinExtra: 150, recoveryS: 12, deliverySlackMs: 120, reuseWindowS: 7.2}
platform: {address: %q, form: "table", writesPerS: 400, readsPerS: 2000, transactionMs: 5.0, partWritesPerS: 200, maxRowBytes: 65536, crossShard: false, historyS: 20}
`, name, ip, zone, zone, n.Frontend, n.Ready, fmt.Sprintf("%s:%d", ip, ports[2]-1), ports[2], ports[2]+15, strings.Join(seed, ", "), store)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// Start starts the node's process with the command of the deploy file.
func (n *Node) Start(run string) error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command(run)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PEARYARD_SETTINGS=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	return n.cmd.Start()
}

// AwaitReady waits until the node counts as ready.
func (n *Node) AwaitReady(within time.Duration) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + n.Ready + "/pearyard/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	_ = n.cmd.Wait()
	n.cmd = nil
}

// FreePorts returns three ports that are free at each of the addresses.
func FreePorts(ips ...string) (ports [3]int, ok bool) {
	for range 50 {
		base := 20000 + 50*rand.IntN(200)
		ports = [3]int{base, base + 1, base + 10}
		if free(ips, ports) {
			return ports, true
		}
	}
	return ports, false
}

func free(ips []string, ports [3]int) bool {
	for _, ip := range ips {
		for _, p := range ports {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// firstLine returns the first line of a text.
func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// Crashes returns how often runners crashed, and how often requests that crash them reached
// runners later than a while after the third crash.
func (r *Record) Crashes(after time.Duration) (crashes, late int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.arrivals {
		if len(r.crashes) >= 3 && at.Sub(r.crashes[2]) > after {
			late++
		}
	}
	return len(r.crashes), late
}

// noteLocked keeps the times that Crashes needs.
func (r *Record) noteLocked(fields []string, now time.Time) {
	switch {
	case fields[0] == "crash":
		r.crashes = append(r.crashes, now)
	case fields[0] == "reaches" && strings.HasPrefix(fields[len(fields)-1], CrashPath):
		r.arrivals = append(r.arrivals, now)
	}
}
