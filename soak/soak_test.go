package soak

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/entry"
	"github.com/pearyard/pearyard/standin/nursery"
)

var (
	seeds           = flag.Int("soak.seeds", 2, "number of seeds that each test runs")
	firstSeed       = flag.Uint64("soak.first", 1, "first seed; 0: the current time")
	length          = flag.Duration("soak.length", 4*time.Second, "how long disruptions go on in a run")
	parallel        = flag.Int("soak.beside", 2, "number of runs at a time, of all tests together")
	vms             = flag.Int("soak.vms", DefaultSize.VMs, "number of entry programs per run")
	disruptionCount = flag.Int("soak.troubles", 0, "use only the first so many disruptions, to repeat a seed that failed before others were added; 0: all")
	models          = flag.Int("soak.models", DefaultSize.ModelServers, "number of servers of the model service per run")
)

// TestMain runs the entry program instead of the tests if the soak started the binary.
func TestMain(m *testing.M) {
	if os.Getenv(ProgramVariable) != "" {
		os.Exit(entry.Main(os.Args[:1], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// Whatever the order of the disruptions, no guarantee is violated, and callers are
// served again when the disruptions are over.
func TestSeeds(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan {
		return Plan{Size: sizeFromFlags(), Seed: seed, Disruptions: selectedDisruptions(), Length: *length}
	})
}

// runSeeds runs a plan for each seed that the flags select.
func runSeeds(t *testing.T, plan func(seed uint64) Plan) {
	t.Helper()
	from := *firstSeed
	if from == 0 {
		from = uint64(time.Now().UnixNano())
	}
	var plans []Plan
	for i := range *seeds {
		plans = append(plans, plan(from+uint64(i)))
	}
	runPlans(t, plans)
}

// runPlans runs plans beside those of other tests, as many at a time in all as the flag
// soak.beside says.
func runPlans(t *testing.T, plans []Plan) {
	t.Helper()
	t.Parallel()
	slots := runSlots()
	var wg sync.WaitGroup
	for _, plan := range plans {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			runPlan(t, plan)
		})
	}
	wg.Wait()
}

// runSlots returns a channel that has room for the runs in progress.
var runSlots = sync.OnceValue(func() chan struct{} { return make(chan struct{}, *parallel) })

// selectedDisruptions returns the disruptions that the flag soak.troubles selects.
func selectedDisruptions() []Disruption {
	if *disruptionCount > 0 {
		return Disruptions[:min(*disruptionCount, len(Disruptions))]
	}
	return Disruptions
}

// failedSeeds maps seeds that failed before to the number of disruptions that existed at
// the time.
//
// 123: SIGHUP ended a process right after its start, and the soak did not restart it
// as the platform does.
// 1796264925035525842: the same, and its VM was started twice.
// Only by hand, with 200 entry programs: 1796252378654122658 (-soak.troubles 18
// -soak.beside 1 -soak.vms 200 -soak.models 90 -soak.length 12s): all VMs were killed
// during the loss of many servers and used their fixed retries twice in ten seconds.
var failedSeeds = map[uint64]int{123: 16, 1796264925035525842: 33}

// Repeats the seeds that failed before.
func TestSeedsThatFailedOnce(t *testing.T) {
	var plans []Plan
	for seed, count := range failedSeeds {
		plans = append(plans, Plan{Size: sizeFromFlags(), Seed: seed, Disruptions: Disruptions[:count], Length: *length})
	}
	runPlans(t, plans)
}

func sizeFromFlags() Size {
	size := DefaultSize
	size.VMs, size.ModelServers = *vms, *models
	return size
}

// runPlan runs a plan and reports its violations. The logs of a run that fails are kept.
func runPlan(t *testing.T, plan Plan) {
	t.Helper()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Errorf("create directory for settings and logs: %v", err)
		return
	}
	result, err := Run(dir, plan)
	if err != nil {
		t.Errorf("seed %d: run plan: %v", plan.Seed, err)
		return
	}
	t.Log(result)
	if len(result.Violations) == 0 {
		_ = os.RemoveAll(dir)
		return
	}
	t.Errorf("%v; logs in %s\n%s\n%s", result, dir, strings.Join(result.Violations[:min(10, len(result.Violations))], "\n"), result.FormatTimeline())
}

// Guards against programs of one run, or of concurrent runs, that get the same port to
// listen on.
func TestPortsDiffer(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[int]bool{}
	var blocks []*portBlock
	for range 20 {
		block, err := acquirePorts()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		blocks = append(blocks, block)
		ports := []int{block.callerPort(), block.readyPort()}
		for i := range peerPorts {
			ports = append(ports, block.firstPeerPort()+i)
		}
		for _, port := range ports {
			g.Expect(seen[port]).To(gomega.BeFalse(), "port %d is in two blocks", port)
			seen[port] = true
			listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
			g.Expect(err).NotTo(gomega.HaveOccurred(), "port %d of an acquired block is in use", port)
			_ = listener.Close()
		}
	}
	blocks[3].release()
	again, err := acquirePorts()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.first).To(gomega.BeNumerically("<=", blocks[3].first), "a released block must be acquired again")
	again.release()
	for i, block := range blocks {
		if i != 3 {
			block.release()
		}
	}
}

// Guards against a run that gets the ports on which a program of an earlier run, which
// was killed, still listens.
func TestPortBlockIsLockedWhileAProgramRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	block, err := acquirePorts()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	program := exec.Command("sleep", "60")
	program.ExtraFiles = []*os.File{block.lock}
	g.Expect(program.Start()).To(gomega.Succeed())
	i := (block.first - firstPort) / blockSize
	block.release()
	again, err := lockBlock(i)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.BeNil())
	g.Expect(program.Process.Kill()).To(gomega.Succeed())
	_ = program.Wait()
	again, err = lockBlock(i)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).NotTo(gomega.BeNil())
	again.release()
}

// Guards against processes left behind by a site that fails to start: one of 200
// programs did not become ready, and the other 199 kept running and sent requests to
// the ports of the next run, whose servers saw requests that no caller had sent.
func TestSiteThatFailsToStartLeavesNoProcesses(t *testing.T) {
	g := gomega.NewWithT(t)
	site, err := NewSite(filepath.Join(t.TempDir(), "none"), DefaultSize)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(site).To(gomega.BeNil())

	// The settings of the last VM can't be written: a directory has the name of the file.
	dir := t.TempDir()
	last := fmt.Sprintf("edge-%d.yaml", DefaultSize.VMs-1)
	g.Expect(os.Mkdir(filepath.Join(dir, last), 0o700)).To(gomega.Succeed())
	_, err = NewSite(dir, DefaultSize)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(childPIDs(t)).To(gomega.BeEmpty())
}

// childPIDs returns the process ids of the running children of this process.
func childPIDs(t *testing.T) []string {
	t.Helper()
	g := gomega.NewWithT(t)
	lists, err := filepath.Glob("/proc/self/task/*/children")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lists).NotTo(gomega.BeEmpty())
	var ids []string
	for _, list := range lists {
		content, err := os.ReadFile(list)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ids = append(ids, strings.Fields(string(content))...)
	}
	return ids
}

// Guards against counting a process that the soak ended as one that ended by itself:
// the flag was read only after the VM had been started again, which resets it.
func TestRequestedEndIsNotUnexpected(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 1)
	for range 60 {
		site.VMs[0].kill()
		g.Expect(site.VMs[0].start()).To(gomega.Succeed())
	}
	time.Sleep(2 * restartDelay)
	g.Expect(site.VMs[0].unexpectedExits.Load()).To(gomega.BeZero())
}

// Guards against two processes of one VM. A signal ended a process right after its
// start, and at the same time its VM was stopped as planned and started again. It was
// started twice: the second process found its ports in use and ended, 106 times, and
// the first kept running after the site had closed.
func TestVMHasOneProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 1)
	vm := site.VMs[0]
	_, done := vm.process()
	vm.signal(syscall.SIGKILL)
	<-done
	vm.terminate()
	g.Expect(vm.start()).To(gomega.Succeed())
	time.Sleep(2 * restartDelay)
	g.Expect(childPIDs(t)).To(gomega.HaveLen(1))
	g.Expect(vm.unexpectedExits.Load()).To(gomega.BeEquivalentTo(1))

	// The same if the site closes before the process is restarted.
	_, done = vm.process()
	vm.signal(syscall.SIGKILL)
	<-done
	site.Close()
	time.Sleep(2 * restartDelay)
	g.Expect(childPIDs(t)).To(gomega.BeEmpty())
}

func newSite(t *testing.T, vms int) *Site {
	t.Helper()
	size := DefaultSize
	size.VMs = vms
	site, err := NewSite(t.TempDir(), size)
	if err != nil {
		t.Fatalf("start site with %d VMs: %v", vms, err)
	}
	t.Cleanup(site.Close)
	return site
}

// sendTo sends one request with an API key and returns the call.
func sendTo(site *Site, vm *VM, path, key string) Call {
	c := Call{ID: strings.TrimLeft(path[strings.LastIndexByte(path, '/'):], "/"), Path: path, VM: vm.Name}
	callers := NewCallers(site)
	callers.send(callers.client, vm, &c, key)
	callers.client.CloseIdleConnections()
	return c
}

// End to end with processes: a stream outlives its server, a planned stop cuts no
// stream, and a configuration change takes effect within two seconds.
func TestWholePath(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 2)
	var streams []Call

	// A stream outlives its server.
	running := make(chan Call, 1)
	go func() { running <- sendTo(site, site.VMs[0], "/stream/s1", "k0") }()
	g.Eventually(site.Cloud.Ledger.Runs, "5s", "5ms").Should(gomega.HaveLen(1))
	time.Sleep(150 * time.Millisecond)
	serverID := site.Cloud.Ledger.Runs()[0].Server
	for _, server := range site.Servers {
		if server.ID() == serverID {
			server.Crash()
		}
	}
	call := <-running
	g.Expect(call.Mismatch).To(gomega.BeEmpty())
	g.Expect(call.Complete).To(gomega.BeTrue())
	g.Expect(site.Cloud.Ledger.Runs()).To(gomega.HaveLen(2))
	streams = append(streams, call)

	// A planned stop cuts no stream.
	go func() { running <- sendTo(site, site.VMs[1], "/stream/s2", "k0") }()
	g.Eventually(site.Cloud.Ledger.Runs, "5s", "5ms").Should(gomega.HaveLen(3))
	site.VMs[1].terminate()
	call = <-running
	g.Expect(call.Complete && call.Mismatch == "").To(gomega.BeTrue(), "%+v", call)
	streams = append(streams, call)
	g.Expect(overlapViolations(site.Cloud.Ledger.Works(), streams, site.disturbances())).To(gomega.BeEmpty())

	// A new route and a revoked key take effect within two seconds.
	site.Configure(func(c *Configuration) { c.Keys, c.Extra = []string{"k1"}, []string{"/extra/"} })
	time.Sleep(2 * time.Second)
	g.Expect(sendTo(site, site.VMs[0], "/any/c1", "k0").Status).To(gomega.Equal(401))
	g.Expect(sendTo(site, site.VMs[0], "/extra/c2", "k1").Status).To(gomega.Equal(200))
	g.Expect(sendTo(site, site.VMs[0], "/none/c3", "k1").Status).To(gomega.Equal(404))

	// The metrics count the resumed stream, the answered requests and the calls to the store.
	resp, err := http.Get("http://" + site.VMs[0].peerAddress + "/metrics")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	metrics, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, name := range []string{
		`pearyard_exchange_resumes_total{how="copy"} 1`, `pearyard_exchange_requests_total{ended_by="answer",kind="idempotent",outcome="served"} 1`,
		`pearyard_store_calls_total{call="wait",result="ok"}`, "pearyard_config_age_seconds", "pearyard_log_lines_dropped 0",
	} {
		g.Expect(string(metrics)).To(gomega.ContainSubstring(name))
	}
}

// All servers crash at once, and connections to them are refused. Half a second later
// they run again under the same ids. Guards against entry VMs that regard servers with
// those ids as ended for good: callers were refused as long as the servers ran.
func TestServersThatStartAgainUnderTheirIDs(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 2)
	for _, server := range site.Servers {
		// A proxy in front would accept connections for a server that has ended.
		server.Address = site.proxies[server].target
		server.Crash()
		g.Expect(server.Restart()).To(gomega.Succeed())
	}
	time.Sleep(time.Second)
	crash := func(id string) {
		for _, server := range site.Servers {
			server.Crash()
		}
		sendTo(site, site.VMs[0], "/any/"+id, "k0")
		time.Sleep(500 * time.Millisecond)
		for _, server := range site.Servers {
			g.Expect(server.RestartWithSameID()).To(gomega.Succeed())
		}
	}
	calls := 0
	served := func() int {
		calls++
		return sendTo(site, site.VMs[0], fmt.Sprintf("/any/again%d", calls), "k0").Status
	}
	id := site.Servers[0].ID()
	crash("crashing1")
	g.Eventually(served, "2s", "50ms").Should(gomega.Equal(200))
	g.Expect(site.Servers[0].ID()).To(gomega.Equal(id))

	// The same while the store is unavailable, so that the list of servers can't be read.
	time.Sleep(time.Second)
	site.Store.SetFault(nursery.StoreBusy)
	time.Sleep(3 * time.Second)
	g.Expect(served()).To(gomega.Equal(200))
	crash("crashing2")
	g.Eventually(served, "1900ms", "50ms").Should(gomega.Equal(200))
}

// Guards against a draining server that still gets new requests later than maxDrainDelay
// after its drain began, under continuous load.
func TestLeavingServerGetsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 2)
	draining := site.Servers[0]
	id := draining.ID()
	drainStart := time.Now()
	draining.Drain()
	for n := 0; time.Since(drainStart) < maxDrainDelay+time.Second; n++ {
		sendTo(site, site.VMs[n%2], "/stream/l"+string(rune('a'+n%26))+time.Now().Format("150405.000000"), "k0")
	}
	g.Expect(LateArrivals(site.Cloud.Ledger.Arrivals(), id, drainStart)).To(gomega.BeEmpty())
}
