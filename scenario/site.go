package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/embedded"
	"github.com/pearyard/pearyard/settings"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

// Labels of the addresses of a process in its `listening` line. A stand-in has one address,
// which it prints without a label; it is treated as labelBackend.
const (
	labelPeers   = "peers"
	labelCallers = "callers"
	labelAdmin   = "admin"
	labelBackend = "backend"
)

// Sources of connections in the keys of site.relays, besides the names of processes.
const (
	fromPeers   = "peers"   // all sidecars and routers, and the harness when it reads a process's state
	fromCallers = "callers" // all callers of a script
	fromHarness = "harness" // the test itself; these connections are never cut
)

const (
	platformName = "platform"
	adminToken   = "token-of-a-scenario"
	readyTimeout = 30 * time.Second
	pollInterval = 10 * time.Millisecond
)

// siteSpec holds the number of processes of each kind in a site, and the engines' settings.
type siteSpec struct {
	engines, routers, plains, zones int
	step                            time.Duration // step duration of the engines
	poisonAfter                     int           // number of tokens after which a poisoned request crashes its engine
}

// site is the running system of one script.
type site struct {
	dir        string
	spec       siteSpec
	processes  map[string]*process
	startOrder []string          // names of the processes, in the order in which they are started
	relays     map[string]*relay // keyed by "A B", for connections from A to B; A is a process, "peers", "callers" or "harness"
	config     *text.Config
}

func newSite(dir string, spec siteSpec) *site {
	return &site{dir: dir, spec: spec, processes: map[string]*process{}, relays: map[string]*relay{}}
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }
func plainName(i int) string  { return fmt.Sprintf("plain-%d", i) }
func routerName(i int) string { return fmt.Sprintf("router-%d", i) }

// sidecarName returns the name of sidecar i. The sidecars of engines come first, then
// those of plain services.
func sidecarName(i int) string { return fmt.Sprintf("sidecar-%d", i) }

// zone returns the zone of sidecar i and of router i. The zones are assigned in turn.
func (s *site) zone(i int) string { return fmt.Sprintf("zone-%d", (i-1)%s.spec.zones+1) }

// backendOf returns the name and kind of the backend server beside sidecar i.
func (s *site) backendOf(i int) (name string, kind text.Kind) {
	if i <= s.spec.engines {
		return engineName(i), text.KindModel
	}
	return plainName(i - s.spec.engines), text.KindPlain
}

func (s *site) sidecarCount() int { return s.spec.engines + s.spec.plains }

// start configures and starts all processes and waits until they listen.
func (s *site) start() error {
	if err := s.configure(); err != nil {
		return err
	}
	errs := make([]error, len(s.startOrder))
	var wait sync.WaitGroup
	for i, name := range s.startOrder {
		wait.Go(func() { errs[i] = s.processes[name].start() })
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// configure creates the relays and writes the settings of all processes.
func (s *site) configure() error {
	if err := s.addStandin(platformName, "platform"); err != nil {
		return err
	}
	for i := range s.spec.engines {
		if err := s.addStandin(engineName(i+1), "engine", "--step-base", s.spec.step.String(), "--check-fence",
			"--poison-after", strconv.Itoa(s.spec.poisonAfter)); err != nil {
			return err
		}
	}
	for i := range s.spec.plains {
		if err := s.addStandin(plainName(i+1), "plain"); err != nil {
			return err
		}
	}
	for i := range s.sidecarCount() {
		if err := s.addSidecar(i + 1); err != nil {
			return err
		}
	}
	for i := range s.spec.routers {
		if err := s.addRouter(i + 1); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) addProcess(name, program string, args ...string) *process {
	p := &process{name: name, program: program, args: args, relays: map[string][]*relay{}}
	s.processes[name] = p
	s.startOrder = append(s.startOrder, name)
	return p
}

// addRelay creates the relay for connections from a process, or a group of them, to
// another process.
func (s *site) addRelay(from, to, label string) error {
	r, err := newRelay()
	if err != nil {
		return err
	}
	s.relays[from+" "+to] = r
	p := s.processes[to]
	p.relays[label] = append(p.relays[label], r)
	return nil
}

// address returns the address at which from reaches to.
func (s *site) address(from, to string) string { return s.relays[from+" "+to].address }

func (s *site) addStandin(name string, args ...string) error {
	s.addProcess(name, programStandin, args...)
	return s.addRelay(fromHarness, name, labelBackend)
}

func (s *site) addSidecar(i int) error {
	name := sidecarName(i)
	backend, kind := s.backendOf(i)
	s.addProcess(name, programSidecar, "--settings", s.settingsFile(name))
	common, err := s.commonSettings(name, i)
	if err != nil {
		return err
	}
	own := settings.DefaultSidecar()
	own.Common, own.BackendServer, own.Kind = common, backend, kind
	own.PollSeconds = settings.DefaultSidecarPollSeconds
	own.Service = embedded.ModelService
	if kind == text.KindPlain {
		own.Service = embedded.PlainService
	}
	if err := s.addRelay(name, backend, labelBackend); err != nil {
		return err
	}
	own.Backend = s.address(name, backend)
	return s.writeJSON(s.settingsFile(name), own)
}

func (s *site) addRouter(i int) error {
	name := routerName(i)
	s.addProcess(name, programRouter, "--settings", s.settingsFile(name))
	common, err := s.commonSettings(name, i)
	if err != nil {
		return err
	}
	own := settings.DefaultRouter()
	own.Common, own.Listen = common, "127.0.0.1:0"
	own.AdminListen, own.AdminToken = "127.0.0.1:0", adminToken
	for from, label := range map[string]string{fromCallers: labelCallers, fromHarness: labelAdmin} {
		if err := s.addRelay(from, name, label); err != nil {
			return err
		}
	}
	return s.writeJSON(s.settingsFile(name), own)
}

// commonSettings returns the settings that sidecars and routers share, for the process
// with this name and number. It also creates the relays from the peers to the process and
// from the process to the platform. The seeds are the first two sidecars, as far as they
// have been configured before this process.
func (s *site) commonSettings(name string, i int) (settings.Common, error) {
	if err := s.addRelay(fromPeers, name, labelPeers); err != nil {
		return settings.Common{}, err
	}
	if err := s.addRelay(name, platformName, labelBackend); err != nil {
		return settings.Common{}, err
	}
	common := settings.DefaultRouter().Common
	common.VMListLagSeconds = 1
	common.ID, common.Zone = types.ProcessID(name), types.Zone(s.zone(i))
	common.PeerListen, common.Advertise = "127.0.0.1:0", s.address(fromPeers, name)
	platform := s.address(name, platformName)
	common.Table, common.Objects, common.VMList, common.Weights = platform, platform, platform, platform
	for _, seed := range []string{sidecarName(1), sidecarName(2)} {
		if r := s.relays[fromPeers+" "+seed]; r != nil && seed != name {
			common.Seeds = append(common.Seeds, r.address)
		}
	}
	return common, nil
}

func (s *site) settingsFile(name string) string { return filepath.Join(s.dir, name+".json") }

func (s *site) writeJSON(file string, value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, raw, 0o600)
}

// stop kills all processes and closes all relays.
func (s *site) stop() {
	var wait sync.WaitGroup
	for _, p := range s.processes {
		wait.Go(p.kill)
	}
	wait.Wait()
	for _, r := range s.relays {
		r.close()
	}
}

// ready waits until each router accepts callers and knows all backend servers.
func (s *site) ready() error {
	return waitFor(readyTimeout, "all routers are ready and know all backend servers", func() bool {
		for i := range s.spec.routers {
			if !s.knowsBackends(routerName(i+1), s.sidecarCount()) {
				return false
			}
		}
		return true
	})
}

// knowsBackends reports whether the router is ready and lists this many backend servers.
func (s *site) knowsBackends(router string, backends int) bool {
	resp, err := http.Get("http://" + s.address(fromCallers, router) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	var dump struct{ Services map[string][]json.RawMessage }
	if resp.StatusCode != http.StatusOK || s.readSection(router, "router", &dump) != nil {
		return false
	}
	n := 0
	for _, candidates := range dump.Services {
		n += len(candidates)
	}
	return n == backends
}

// waitFor polls until the condition holds. Conditions depend on the state of other
// processes, which don't notify the harness of changes.
func waitFor(limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return errors.Errorf("timed out after %s waiting for: %s", limit, what)
		}
	}
	return nil
}
