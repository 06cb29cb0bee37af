package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// Program is the variable that makes the test binary run as the entry program.
	Program = "PEARYARD_SOAK_PROGRAM"

	graceSeconds = 3
	startTimeout = 10 * time.Second
	readyLook    = 20 * time.Millisecond
)

// VM is an entry VM: one process and its addresses.
type VM struct {
	Name    string
	IP      string
	Callers string
	ready   string
	dir     string
	store   *Proxy // this VM's way to the store

	cmd      *exec.Cmd
	done     chan struct{}
	stopping atomic.Bool // SIGTERM was sent to the process that runs
	killed   atomic.Int64
	paused   atomic.Bool
}

// freePort returns a port that is free on ip now.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// newVM lays out a VM; peerPort is the same on all.
func newVM(dir string, n int, zone string, peerPort int, seeds []string, store *Proxy) (*VM, error) {
	vm := &VM{Name: fmt.Sprintf("edge-%d", n), IP: ipOf(n), dir: dir, store: store}
	callers, err := freePort(vm.IP)
	if err != nil {
		return nil, err
	}
	ready, err := freePort(vm.IP)
	if err != nil {
		return nil, err
	}
	vm.Callers, vm.ready = fmt.Sprintf("%s:%d", vm.IP, callers), fmt.Sprintf("%s:%d", vm.IP, ready)
	settings := fmt.Sprintf(`{nodeName: %q, ip: %q, zone: %q, listen: {frontend: %q, ready: %q}, internalPortRange: [%d, %d], seedNodes: [%s],
limits: {memoryMb: 134}, heartbeatMs: 1200, platform: {address: %q, readsPerS: 2000, writesPerS: 400},
bounds: {drainTimeoutMs: 2000, gracePeriodS: %d, configApplyMs: 2000, retryBudgetRatio: 0.8, retryWindowS: 10, retryMinExtra: 150}}
`, vm.Name, vm.IP, zone, vm.Callers, vm.ready, peerPort, peerPort+9, strings.Join(seeds, ", "), store.Address, graceSeconds)
	return vm, os.WriteFile(vm.settings(), []byte(settings), 0o600)
}

// ipOf gives each VM an address of its own on loopback: peers share one port.
func ipOf(n int) string { return fmt.Sprintf("127.0.0.%d", 10+n) }

func (vm *VM) settings() string { return filepath.Join(vm.dir, vm.Name+".yaml") }
func (vm *VM) log() string      { return filepath.Join(vm.dir, vm.Name+".log") }

// start runs the program.
func (vm *VM) start() error {
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(vm.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	vm.cmd = exec.Command(binary)
	vm.cmd.Env = append(os.Environ(), Program+"=1", "PEARYARD_SETTINGS="+vm.settings())
	vm.cmd.Stdout, vm.cmd.Stderr = log, log
	if err := vm.cmd.Start(); err != nil {
		return errors.Wrap(err, "soak: start")
	}
	vm.stopping.Store(false)
	vm.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(vm.cmd, vm.done)
	return nil
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

func (vm *VM) signal(s syscall.Signal) { _ = vm.cmd.Process.Signal(s) }

// kill ends the process at once.
func (vm *VM) kill() {
	vm.killed.Store(time.Now().UnixNano())
	vm.signal(syscall.SIGKILL)
	<-vm.done
}

// terminate stops the process as planned and waits for its end.
func (vm *VM) terminate() {
	vm.stopping.Store(true)
	vm.signal(syscall.SIGTERM)
	select {
	case <-vm.done:
	case <-time.After(graceSeconds * time.Second):
		vm.kill()
	}
}
