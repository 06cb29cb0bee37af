package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// ProgramVariable is the environment variable that makes the test binary run as the
	// entry program.
	ProgramVariable = "PEARYARD_SOAK_PROGRAM"

	defaultGrace      = 3 * time.Second // grace period of a planned stop
	startTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// VM is an entry VM: one process of the entry program, its addresses and its lifecycle.
type VM struct {
	Name          string
	IP            string
	CallerAddress string // ip:port for callers
	readyAddress  string // ip:port for the platform's readiness check
	peerAddress   string // ip:port for other VMs, and for metrics
	dir           string // has the settings and the log
	storeProxy    *Proxy // in front of the store, for this VM only
	ports         *portBlock
	grace         time.Duration // grace period of a planned stop

	// lifecycle serializes starts and ends: a VM has one process at a time, and none once
	// its site has closed.
	lifecycle       sync.Mutex
	mu              sync.Mutex // guards cmd, done and plannedStops
	cmd             *exec.Cmd
	done            chan struct{} // closed when cmd has ended
	plannedStops    []time.Time   // when they began
	endRequested    atomic.Bool   // the soak is ending the running process
	paused          atomic.Bool   // by SIGSTOP
	startedAt       atomic.Int64  // time of the newest start, in Unix nanoseconds
	lastHUP         atomic.Int64  // time of the newest SIGHUP, in Unix nanoseconds
	unexpectedExits atomic.Int64  // processes that ended without the soak ending them
	disturbed       disturbanceLog
}

// newVM writes the settings of a VM. All VMs use the same ports, each on its own IP address.
// The program ignores heartbeatMs, readsPerS and writesPerS.
func newVM(dir string, n int, zone string, ports *portBlock, seedNodes []string, store *Proxy, grace time.Duration) (*VM, error) {
	vm := &VM{Name: fmt.Sprintf("edge-%d", n), IP: ipOf(n), dir: dir, storeProxy: store, ports: ports, grace: grace}
	at := func(port int) string { return fmt.Sprintf("%s:%d", vm.IP, port) }
	vm.CallerAddress, vm.readyAddress, vm.peerAddress = at(ports.callerPort()), at(ports.readyPort()), at(ports.firstPeerPort())
	settings := fmt.Sprintf(`{nodeName: %q, ip: %q, zone: %q, listen: {frontend: %q, ready: %q}, internalPortRange: [%d, %d], seedNodes: [%s],
limits: {memoryMb: 134}, heartbeatMs: 1200, platform: {address: %q, readsPerS: 2000, writesPerS: 400},
bounds: {drainTimeoutMs: 2000, gracePeriodS: %v, configApplyMs: 2000, addressReuseS: 2, retryBudgetRatio: %v, retryWindowS: %v, retryMinExtra: %d}}
`, vm.Name, vm.IP, zone, vm.CallerAddress, vm.readyAddress, ports.firstPeerPort(), ports.firstPeerPort()+peerPorts-1, strings.Join(seedNodes, ", "), store.Address, grace.Seconds(),
		retryRatio, retryWindow.Seconds(), retryExtra)
	return vm, os.WriteFile(vm.settingsPath(), []byte(settings), 0o600)
}

// ipOf returns the loopback address of VM n. Each VM has its own, since all VMs of a site
// listen for peers on the same port.
func ipOf(n int) string { return fmt.Sprintf("127.0.%d.%d", n/ipsPerSubnet, 10+n%ipsPerSubnet) }

const ipsPerSubnet = 200

func (vm *VM) settingsPath() string { return filepath.Join(vm.dir, vm.Name+".yaml") }
func (vm *VM) logPath() string      { return filepath.Join(vm.dir, vm.Name+".log") }

// start runs the program unless it is running. Like the platform, it restarts a process
// that ends by itself.
func (vm *VM) start() error {
	vm.lifecycle.Lock()
	defer vm.lifecycle.Unlock()
	return vm.startLocked()
}

// startLocked is start for a caller that holds vm.lifecycle.
func (vm *VM) startLocked() error {
	vm.endRequested.Store(false)
	if _, done := vm.process(); done != nil && !isClosed(done) {
		return nil
	}
	log, err := os.OpenFile(vm.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd, err := vm.command(log)
	if err != nil {
		return err
	}
	starts.RLock()
	err = cmd.Start()
	starts.RUnlock()
	if err != nil {
		return errors.Wrapf(err, "soak: start entry program of %s", vm.Name)
	}
	done := make(chan struct{})
	vm.mu.Lock()
	vm.cmd, vm.done = cmd, done
	vm.mu.Unlock()
	vm.startedAt.Store(time.Now().UnixNano())
	vm.disturbed.end()
	go vm.reap(cmd, done)
	return nil
}

// command returns the program of the VM, with its output going to log.
func (vm *VM) command(log *os.File) (*exec.Cmd, error) {
	binary, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), ProgramVariable+"=1", "PEARYARD_SETTINGS="+vm.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.ExtraFiles = []*os.File{vm.ports.lock} // keeps the block locked until the program ends, even if this process is killed
	return cmd, nil
}

const (
	// restartDelay is the delay after which a process that ended by itself is restarted,
	// the same as on the platform.
	restartDelay = 200 * time.Millisecond
	// hupGrace is how long after its start SIGHUP may end a process without an unexpected
	// exit being counted: before any code of the program runs, the default action of the
	// signal applies. That is no fault of the program.
	hupGrace = 300 * time.Millisecond
)

// reap waits for the end of a process and restarts it if the soak did not end it.
func (vm *VM) reap(cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Wait()
	// Read before done is closed: whoever waits for done may start the VM again, which
	// resets the flag.
	requested := vm.endRequested.Load()
	close(done)
	if requested {
		return
	}
	if hupDelay := vm.lastHUP.Load() - vm.startedAt.Load(); hupDelay < 0 || hupDelay > int64(hupGrace) {
		vm.unexpectedExits.Add(1)
	}
	time.Sleep(restartDelay)
	vm.lifecycle.Lock()
	defer vm.lifecycle.Unlock()
	if !vm.endRequested.Load() {
		_ = vm.startLocked()
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// requestEnd records that the soak ends the running process, if there is one. No other
// is started until start is called.
func (vm *VM) requestEnd() {
	vm.lifecycle.Lock()
	defer vm.lifecycle.Unlock()
	vm.endRequested.Store(true)
}

// process returns the newest process and the channel that is closed when it ends.
func (vm *VM) process() (*exec.Cmd, chan struct{}) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.cmd, vm.done
}

// isReady reports whether the VM answers the platform's readiness check with 200.
func (vm *VM) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + vm.readyAddress + "/pearyard/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// metrics returns the metrics of the VM as text, empty if it doesn't answer.
func (vm *VM) metrics() string {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + vm.peerAddress + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// awaitReady waits until the VM is ready, for at most startTimeout.
func (vm *VM) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		if vm.isReady() {
			return nil
		}
	}
	return errors.Errorf("soak: %s is not ready after %v, see %s", vm.Name, startTimeout, vm.logPath())
}

// signal sends a signal to the newest process.
func (vm *VM) signal(s syscall.Signal) {
	cmd, _ := vm.process()
	if cmd == nil {
		return // never started
	}
	switch s {
	case syscall.SIGHUP:
		vm.lastHUP.Store(time.Now().UnixNano())
	case syscall.SIGSTOP, syscall.SIGTERM, syscall.SIGKILL:
		vm.disturbed.begin()
	}
	_ = cmd.Process.Signal(s)
}

// kill ends the process with SIGKILL and waits for its end.
func (vm *VM) kill() {
	vm.requestEnd()
	vm.signal(syscall.SIGKILL)
	if _, done := vm.process(); done != nil {
		<-done
	}
}

// terminate runs a planned stop: it sends SIGTERM and waits for the end of the process. It
// kills the process after the grace period.
func (vm *VM) terminate() {
	vm.requestEnd()
	vm.mu.Lock()
	vm.plannedStops = append(vm.plannedStops, time.Now())
	vm.mu.Unlock()
	vm.signal(syscall.SIGTERM)
	_, done := vm.process()
	select {
	case <-done:
	case <-time.After(vm.grace):
		vm.kill()
	}
}

// plannedStopTimes returns when the planned stops of the VM began.
func (vm *VM) plannedStopTimes() []time.Time {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return append([]time.Time(nil), vm.plannedStops...)
}
