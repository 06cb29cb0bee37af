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
	seeds  = flag.Int("soak.seeds", 2, "how many seeds the soak plays")
	first  = flag.Uint64("soak.first", 1, "the first seed; 0: by the time of day")
	length = flag.Duration("soak.length", 4*time.Second, "how long troubles go on in a run")
	beside = flag.Int("soak.beside", 2, "runs side by side")
	vms    = flag.Int("soak.vms", DefaultSize.VMs, "entry programs of a run")
	among  = flag.Int("soak.troubles", 0, "play only the first so many kinds of trouble, as a seed that failed had them; 0: all")
	models = flag.Int("soak.models", DefaultSize.Models, "servers of the model service of a run")
)

// TestMain lets the test binary be the program that the soak starts.
func TestMain(m *testing.M) {
	if os.Getenv(Program) != "" {
		os.Exit(entry.Main(os.Args[:1], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// Whatever order of troubles a seed gives, no promise is broken, and when the
// troubles are over callers are served again.
func TestSeeds(t *testing.T) {
	playSeeds(t, func(seed uint64) Plan {
		return Plan{Size: usualSize(), Seed: seed, Troubles: played(), Length: *length}
	})
}

// playSeeds plays the seeds that are asked for.
func playSeeds(t *testing.T, plan func(seed uint64) Plan) {
	t.Helper()
	from := *first
	if from == 0 {
		from = uint64(time.Now().UnixNano())
	}
	var plans []Plan
	for i := range *seeds {
		plans = append(plans, plan(from+uint64(i)))
	}
	playBeside(t, plans)
}

// playBeside plays some plans at a time.
func playBeside(t *testing.T, plans []Plan) {
	t.Helper()
	slots := make(chan struct{}, *beside)
	var wg sync.WaitGroup
	for _, plan := range plans {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			playPlan(t, plan)
		})
	}
	wg.Wait()
}

// played returns the kinds of trouble that are asked for.
func played() []Trouble {
	if *among > 0 {
		return Troubles[:min(*among, len(Troubles))]
	}
	return Troubles
}

// failedSeeds have failed once, by the number of troubles that there were then.
// 123: a process got SIGHUP within its first moments and died of it; the soak
// did not start it again as the platform does.
// 1796264925035525842: the same, and its VM was started twice.
// By hand, with 200 entry programs: 1796252378654122658 (-soak.troubles 18
// -soak.beside 1 -soak.vms 200 -soak.models 90 -soak.length 12s): all VMs were
// killed in a mass loss and used their fixed retries twice in ten seconds.
var failedSeeds = map[uint64]int{123: 16, 1796264925035525842: 33}

// What has failed once is played again.
func TestSeedsThatFailedOnce(t *testing.T) {
	var plans []Plan
	for seed, kinds := range failedSeeds {
		plans = append(plans, Plan{Size: usualSize(), Seed: seed, Troubles: Troubles[:kinds], Length: *length})
	}
	playBeside(t, plans)
}

func usualSize() Size {
	size := DefaultSize
	size.VMs, size.Models = *vms, *models
	return size
}

func playPlan(t *testing.T, plan Plan) {
	t.Helper()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Error(err)
		return
	}
	result, err := Run(dir, plan)
	if err != nil {
		t.Errorf("seed %d: %v", plan.Seed, err)
		return
	}
	t.Log(result)
	if len(result.Broken) == 0 {
		_ = os.RemoveAll(dir)
		return
	}
	t.Errorf("%v; logs in %s\n%s\n%s", result, dir, strings.Join(result.Broken[:min(10, len(result.Broken))], "\n"), result.Told())
}

// Guards against programs of one run, or of runs beside each other, that are told to
// listen on the same port.
func TestPortsDiffer(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[int]bool{}
	var blocks []*portBlock
	for range 20 {
		block, err := takePorts()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		blocks = append(blocks, block)
		ports := []int{block.callers(), block.ready()}
		for i := range peerPorts {
			ports = append(ports, block.peers()+i)
		}
		for _, port := range ports {
			g.Expect(seen[port]).To(gomega.BeFalse(), "%d", port)
			seen[port] = true
			listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
			g.Expect(err).NotTo(gomega.HaveOccurred(), "no connection has it")
			_ = listener.Close()
		}
	}
	blocks[3].free()
	again, err := takePorts()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.first).To(gomega.BeNumerically("<=", blocks[3].first), "what is given back is taken again")
	again.free()
	for i, block := range blocks {
		if i != 3 {
			block.free()
		}
	}
}

// Guards against ports that are given to the next run while a program of a run that was
// killed still listens on them.
func TestPortsAreTakenWhileAProgramHasThem(t *testing.T) {
	g := gomega.NewWithT(t)
	block, err := takePorts()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	program := exec.Command("sleep", "60")
	program.ExtraFiles = []*os.File{block.lock}
	g.Expect(program.Start()).To(gomega.Succeed())
	i := (block.first - firstPort) / blockSize
	block.free()
	again, err := lockBlock(i)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.BeNil())
	g.Expect(program.Process.Kill()).To(gomega.Succeed())
	_ = program.Wait()
	again, err = lockBlock(i)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).NotTo(gomega.BeNil())
	again.free()
}

// A site of 200 could not begin because one program did not get ready, and the
// other 199 were left running: they spoke to the ports of the next run, whose
// servers saw requests that nobody had sent.
func TestSiteThatDoesNotBeginLeavesNothingBehind(t *testing.T) {
	g := gomega.NewWithT(t)
	site, err := NewSite(filepath.Join(t.TempDir(), "none"), DefaultSize)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(site).To(gomega.BeNil())

	// The last VM's settings can't be written: a folder has their name.
	dir := t.TempDir()
	last := fmt.Sprintf("edge-%d.yaml", DefaultSize.VMs-1)
	g.Expect(os.Mkdir(filepath.Join(dir, last), 0o700)).To(gomega.Succeed())
	_, err = NewSite(dir, DefaultSize)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(children(t)).To(gomega.BeEmpty())
}

// children returns the ids of the processes that this one has started and that run.
func children(t *testing.T) []string {
	t.Helper()
	g := gomega.NewWithT(t)
	lists, err := filepath.Glob("/proc/self/task/*/children")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lists).NotTo(gomega.BeEmpty())
	var ids []string
	for _, list := range lists {
		some, err := os.ReadFile(list)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ids = append(ids, strings.Fields(string(some))...)
	}
	return ids
}

// A process that the soak had ended counted as one that ended by itself: it was
// judged only when its VM had been started again, and that is no longer meant.
func TestEndThatIsMeantIsNoOwnEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 1)
	for range 60 {
		site.VMs[0].kill()
		g.Expect(site.VMs[0].start()).To(gomega.Succeed())
	}
	time.Sleep(2 * restartDelay)
	g.Expect(site.VMs[0].ownEnds.Load()).To(gomega.BeZero())
}

// A process ended by itself, in its first moments by a signal, and just then its
// VM was stopped as planned and started. It was started twice: the second process
// found its ports taken and ended, 106 times, and the first was left running when
// the site had closed.
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
	g.Expect(children(t)).To(gomega.HaveLen(1))
	g.Expect(vm.ownEnds.Load()).To(gomega.BeEquivalentTo(1))

	// The same when the site closes before the process is started again.
	_, done = vm.process()
	vm.signal(syscall.SIGKILL)
	<-done
	site.Close()
	time.Sleep(2 * restartDelay)
	g.Expect(children(t)).To(gomega.BeEmpty())
}

func newSite(t *testing.T, vms int) *Site {
	t.Helper()
	size := DefaultSize
	size.VMs = vms
	site, err := NewSite(t.TempDir(), size)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	return site
}

// sendTo sends one request with a key and returns what became of it.
func sendTo(site *Site, vm *VM, path, key string) Call {
	c := Call{ID: strings.TrimLeft(path[strings.LastIndexByte(path, '/'):], "/"), Path: path, VM: vm.Name}
	callers := NewCallers(site)
	callers.send(callers.client, vm, &c, key)
	callers.client.CloseIdleConnections()
	return c
}

// The whole path as processes: a stream outlives its server, a planned stop
// cuts nothing, and a change of the configuration is in force in time.
func TestWholePath(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 2)

	// A stream outlives its server.
	running := make(chan Call, 1)
	go func() { running <- sendTo(site, site.VMs[0], "/stream/s1", "k0") }()
	g.Eventually(site.Cloud.Ledger.Runs, "5s", "5ms").Should(gomega.HaveLen(1))
	time.Sleep(150 * time.Millisecond)
	ran := site.Cloud.Ledger.Runs()[0].Server
	for _, server := range site.Servers {
		if server.ID() == ran {
			server.Crash()
		}
	}
	call := <-running
	g.Expect(call.Wrong).To(gomega.BeEmpty())
	g.Expect(call.Whole).To(gomega.BeTrue())
	g.Expect(site.Cloud.Ledger.Runs()).To(gomega.HaveLen(2))

	// A planned stop cuts nothing.
	go func() { running <- sendTo(site, site.VMs[1], "/stream/s2", "k0") }()
	g.Eventually(site.Cloud.Ledger.Runs, "5s", "5ms").Should(gomega.HaveLen(3))
	site.VMs[1].terminate()
	call = <-running
	g.Expect(call.Whole && call.Wrong == "").To(gomega.BeTrue(), "%+v", call)

	// A new route and a revoked key are in force in time.
	site.Configure(func(c *Configuration) { c.Keys, c.Extra = []string{"k1"}, []string{"/extra/"} })
	time.Sleep(2 * time.Second)
	g.Expect(sendTo(site, site.VMs[0], "/any/c1", "k0").Status).To(gomega.Equal(401))
	g.Expect(sendTo(site, site.VMs[0], "/extra/c2", "k1").Status).To(gomega.Equal(200))
	g.Expect(sendTo(site, site.VMs[0], "/none/c3", "k1").Status).To(gomega.Equal(404))

	// The metrics tell of it.
	resp, err := http.Get("http://" + site.VMs[0].peers + "/metrics")
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

// All servers of a service crash at once; their callers find that nobody listens.
// Half a second later they run again under the ids that they had. Entry VMs held
// those ids for ended for good, and callers were refused as long as the servers ran.
func TestServersThatStartAgainUnderTheirIDs(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 2)
	for _, server := range site.Servers {
		// A proxy in front would take connections for a server that has ended.
		server.Address = site.proxies[server].target
		server.Crash()
		g.Expect(server.Restart()).To(gomega.Succeed())
	}
	time.Sleep(time.Second)
	crash := func(call string) {
		for _, server := range site.Servers {
			server.Crash()
		}
		sendTo(site, site.VMs[0], "/any/"+call, "k0")
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
	ids := site.Servers[0].ID()
	crash("crashing1")
	g.Eventually(served, "2s", "50ms").Should(gomega.Equal(200))
	g.Expect(site.Servers[0].ID()).To(gomega.Equal(ids))

	// The same while nobody can read the list.
	time.Sleep(time.Second)
	site.Store.SetFault(nursery.StoreBusy)
	time.Sleep(3 * time.Second)
	g.Expect(served()).To(gomega.Equal(200))
	crash("crashing2")
	g.Eventually(served, "1900ms", "50ms").Should(gomega.Equal(200))
}

// A server says that it leaves. Seconds later nothing new reaches it, however
// busy the site is.
func TestLeavingServerGetsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 2)
	leaving := site.Servers[0]
	id := leaving.ID()
	left := time.Now()
	leaving.Drain()
	for n := 0; time.Since(left) < leaveWithin+time.Second; n++ {
		sendTo(site, site.VMs[n%2], "/stream/l"+string(rune('a'+n%26))+time.Now().Format("150405.000000"), "k0")
	}
	g.Expect(Late(site.Cloud.Ledger.Arrivals(), id, left)).To(gomega.BeEmpty())
}
