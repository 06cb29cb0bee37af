package soak

import (
	"fmt"
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
	// Program is the variable that makes the test binary run as the entry program.
	Program = "PEARYARD_SOAK_PROGRAM"

	shortestGrace = 3 * time.Second
	startTimeout  = 10 * time.Second
	readyLook     = 20 * time.Millisecond
)

// VM is an entry VM: one process and its addresses.
type VM struct {
	Name    string
	IP      string
	Callers string
	ready   string
	peers   string
	dir     string
	store   *Proxy // this VM's way to the store
	ports   *portBlock
	grace   time.Duration // of a planned stop

	// life orders starts and ends: a VM has one process at a time, and none once its
	// site has closed.
	life    sync.Mutex
	mu      sync.Mutex // guards cmd, done and stops
	cmd     *exec.Cmd
	done    chan struct{}
	stops   []time.Time // when planned stops began
	meant   atomic.Bool // the process that runs is being ended by the soak
	paused  atomic.Bool
	started atomic.Int64 // Unix nanoseconds
	hup     atomic.Int64 // of the newest SIGHUP
	ownEnds atomic.Int64 // processes that ended by themselves
}

// newVM lays out a VM; the ports are the same on all.
func newVM(dir string, n int, zone string, ports *portBlock, seeds []string, store *Proxy, grace time.Duration) (*VM, error) {
	vm := &VM{Name: fmt.Sprintf("edge-%d", n), IP: ipOf(n), dir: dir, store: store, ports: ports, grace: grace}
	at := func(port int) string { return fmt.Sprintf("%s:%d", vm.IP, port) }
	vm.Callers, vm.ready, vm.peers = at(ports.callers()), at(ports.ready()), at(ports.peers())
	settings := fmt.Sprintf(`{nodeName: %q, ip: %q, zone: %q, listen: {frontend: %q, ready: %q}, internalPortRange: [%d, %d], seedNodes: [%s],
limits: {memoryMb: 134}, heartbeatMs: 1200, platform: {address: %q, readsPerS: 2000, writesPerS: 400},
bounds: {drainTimeoutMs: 2000, gracePeriodS: %v, configApplyMs: 2000, addressReuseS: 2, retryBudgetRatio: %v, retryWindowS: %v, retryMinExtra: %d}}
`, vm.Name, vm.IP, zone, vm.Callers, vm.ready, ports.peers(), ports.peers()+peerPorts-1, strings.Join(seeds, ", "), store.Address, grace.Seconds(),
		retryRatio, retryWindow.Seconds(), retryExtra)
	return vm, os.WriteFile(vm.settings(), []byte(settings), 0o600)
}

// ipOf gives each VM an address of its own on loopback: peers share one port.
func ipOf(n int) string { return fmt.Sprintf("127.0.%d.%d", n/ipsOfANet, 10+n%ipsOfANet) }

const ipsOfANet = 200

func (vm *VM) settings() string { return filepath.Join(vm.dir, vm.Name+".yaml") }
func (vm *VM) log() string      { return filepath.Join(vm.dir, vm.Name+".log") }

// start runs the program, unless it runs. As the platform does, it starts a
// process again that ends by itself.
func (vm *VM) start() error {
	vm.life.Lock()
	defer vm.life.Unlock()
	return vm.startLocked()
}

func (vm *VM) startLocked() error {
	vm.meant.Store(false)
	if _, done := vm.process(); done != nil && !isClosed(done) {
		return nil
	}
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(vm.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), Program+"=1", "PEARYARD_SETTINGS="+vm.settings())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.ExtraFiles = []*os.File{vm.ports.lock} // also if this process is killed, the block is taken until the program ends
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "soak: start")
	}
	done := make(chan struct{})
	vm.mu.Lock()
	vm.cmd, vm.done = cmd, done
	vm.mu.Unlock()
	vm.started.Store(time.Now().UnixNano())
	go vm.reap(cmd, done)
	return nil
}

const (
	// restartDelay is that of the platform for a process that ended by itself.
	restartDelay = 200 * time.Millisecond
	// hupGrace: a signal in a process's first moments ends it before any of its
	// own code runs. That is the system's doing, not the program's.
	hupGrace = 300 * time.Millisecond
)

func (vm *VM) reap(cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Wait()
	// Whoever waits for done may start the VM anew, and then nothing is meant.
	meant := vm.meant.Load()
	close(done)
	if meant {
		return
	}
	if early := vm.hup.Load() - vm.started.Load(); early < 0 || early > int64(hupGrace) {
		vm.ownEnds.Add(1)
	}
	time.Sleep(restartDelay)
	vm.life.Lock()
	defer vm.life.Unlock()
	if !vm.meant.Load() {
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

// mean notes that the soak ends the process that runs, if any does. No other is
// started until start is called.
func (vm *VM) mean() {
	vm.life.Lock()
	defer vm.life.Unlock()
	vm.meant.Store(true)
}

// process returns what runs and the channel that its end closes.
func (vm *VM) process() (*exec.Cmd, chan struct{}) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.cmd, vm.done
}

// isReady asks as the platform does.
func (vm *VM) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + vm.ready + "/pearyard/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (vm *VM) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(readyLook) {
		if vm.isReady() {
			return nil
		}
	}
	return errors.Errorf("soak: %s does not get ready", vm.Name)
}

func (vm *VM) signal(s syscall.Signal) {
	cmd, _ := vm.process()
	if cmd == nil {
		return // it was never started
	}
	if s == syscall.SIGHUP {
		vm.hup.Store(time.Now().UnixNano())
	}
	_ = cmd.Process.Signal(s)
}

// kill ends the process at once.
func (vm *VM) kill() {
	vm.mean()
	vm.signal(syscall.SIGKILL)
	if _, done := vm.process(); done != nil {
		<-done
	}
}

// terminate stops the process as planned and waits for its end.
func (vm *VM) terminate() {
	vm.mean()
	vm.mu.Lock()
	vm.stops = append(vm.stops, time.Now())
	vm.mu.Unlock()
	vm.signal(syscall.SIGTERM)
	_, done := vm.process()
	select {
	case <-done:
	case <-time.After(vm.grace):
		vm.kill()
	}
}

// stopped returns when its planned stops began.
func (vm *VM) stopped() []time.Time {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return append([]time.Time(nil), vm.stops...)
}
