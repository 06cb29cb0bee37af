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

// Labels of the addresses of a process, as its `listening` line has them.
const (
	labelPeers   = "peers"
	labelCallers = "callers"
	labelAdmin   = "admin"
	labelBackend = "backend" // of a stand-in
)

const (
	platformName = "platform"
	adminToken   = "token-of-a-scenario"
	fromPeers    = "peers"
	fromCallers  = "callers"
	fromHarness  = "harness" // its own ways are never cut
	readyTimeout = 30 * time.Second
	pollInterval = 10 * time.Millisecond
)

// size is what a site is made of.
type size struct {
	engines, routers, plains, zones int
	step                            time.Duration // of the engines
	poisonAfter                     int           // tokens that a poisoned request gets
}

// site is the running system of one script.
type site struct {
	dir       string
	size      size
	processes map[string]*process
	order     []string          // names in the order of the start
	relays    map[string]*relay // "A B": the way from A to B; A is "peers" or "callers" for many
	text      *text.Config
}

func newSite(dir string, of size) *site {
	return &site{dir: dir, size: of, processes: map[string]*process{}, relays: map[string]*relay{}}
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }
func plainName(i int) string  { return fmt.Sprintf("plain-%d", i) }
func routerName(i int) string { return fmt.Sprintf("router-%d", i) }

// sidecarName numbers the sidecars: first those of engines, then of plain services.
func sidecarName(i int) string { return fmt.Sprintf("sidecar-%d", i) }

func (s *site) zone(i int) string { return fmt.Sprintf("zone-%d", (i-1)%s.size.zones+1) }

// backendOf returns the backend server beside sidecar i.
func (s *site) backendOf(i int) (name string, kind text.Kind) {
	if i <= s.size.engines {
		return engineName(i), text.KindModel
	}
	return plainName(i - s.size.engines), text.KindPlain
}

func (s *site) sidecars() int { return s.size.engines + s.size.plains }

// start starts all processes and returns when all listen.
func (s *site) start() error {
	if err := s.declare(); err != nil {
		return err
	}
	errs := make([]error, len(s.order))
	var wait sync.WaitGroup
	for i, name := range s.order {
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

// declare makes the relays and the settings of all processes.
func (s *site) declare() error {
	if err := s.standin(platformName, "platform"); err != nil {
		return err
	}
	for i := range s.size.engines {
		if err := s.standin(engineName(i+1), "engine", "--step-base", s.size.step.String(), "--check-fence",
			"--poison-after", strconv.Itoa(s.size.poisonAfter)); err != nil {
			return err
		}
	}
	for i := range s.size.plains {
		if err := s.standin(plainName(i+1), "plain"); err != nil {
			return err
		}
	}
	for i := range s.sidecars() {
		if err := s.sidecar(i + 1); err != nil {
			return err
		}
	}
	for i := range s.size.routers {
		if err := s.router(i + 1); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) add(name, program string, args ...string) *process {
	p := &process{name: name, program: program, args: args, relays: map[string][]*relay{}}
	s.processes[name] = p
	s.order = append(s.order, name)
	return p
}

// relay makes the way from one process, or from all of a kind, to another.
func (s *site) relay(from, to, label string) error {
	r, err := newRelay()
	if err != nil {
		return err
	}
	s.relays[from+" "+to] = r
	p := s.processes[to]
	p.relays[label] = append(p.relays[label], r)
	return nil
}

func (s *site) at(from, to string) string { return s.relays[from+" "+to].address }

func (s *site) standin(name string, args ...string) error {
	s.add(name, programStandin, args...)
	return s.relay(fromHarness, name, labelBackend)
}

func (s *site) sidecar(i int) error {
	name := sidecarName(i)
	backend, kind := s.backendOf(i)
	s.add(name, programSidecar, "--settings", s.settingsFile(name))
	common, err := s.common(name, i)
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
	if err := s.relay(name, backend, labelBackend); err != nil {
		return err
	}
	own.Backend = s.at(name, backend)
	return s.write(s.settingsFile(name), own)
}

func (s *site) router(i int) error {
	name := routerName(i)
	s.add(name, programRouter, "--settings", s.settingsFile(name))
	common, err := s.common(name, i)
	if err != nil {
		return err
	}
	own := settings.DefaultRouter()
	own.Common, own.Listen = common, "127.0.0.1:0"
	own.AdminListen, own.AdminToken = "127.0.0.1:0", adminToken
	for from, label := range map[string]string{fromCallers: labelCallers, fromHarness: labelAdmin} {
		if err := s.relay(from, name, label); err != nil {
			return err
		}
	}
	return s.write(s.settingsFile(name), own)
}

// common are the settings of a sidecar or router; the first sidecars and
// routers are the seeds.
func (s *site) common(name string, i int) (settings.Common, error) {
	if err := s.relay(fromPeers, name, labelPeers); err != nil {
		return settings.Common{}, err
	}
	if err := s.relay(name, platformName, labelBackend); err != nil {
		return settings.Common{}, err
	}
	common := settings.DefaultRouter().Common
	common.VMListLagSeconds = 1
	common.ID, common.Zone = types.ProcessID(name), types.Zone(s.zone(i))
	common.PeerListen, common.Advertise = "127.0.0.1:0", s.at(fromPeers, name)
	platform := s.at(name, platformName)
	common.Table, common.Objects, common.VMList, common.Weights = platform, platform, platform, platform
	for _, seed := range []string{sidecarName(1), sidecarName(2)} {
		if r := s.relays[fromPeers+" "+seed]; r != nil && seed != name {
			common.Seeds = append(common.Seeds, r.address)
		}
	}
	return common, nil
}

func (s *site) settingsFile(name string) string { return filepath.Join(s.dir, name+".json") }

func (s *site) write(file string, value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, raw, 0o600)
}

// stop ends every process that the script started.
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

// ready waits until each router takes callers and sees all backend servers.
func (s *site) ready() error {
	return await(readyTimeout, "routers ready", func() bool {
		for i := range s.size.routers {
			if !s.sees(routerName(i+1), s.sidecars()) {
				return false
			}
		}
		return true
	})
}

func (s *site) sees(router string, backends int) bool {
	resp, err := http.Get("http://" + s.at(fromCallers, router) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	var dump struct{ Services map[string][]json.RawMessage }
	if resp.StatusCode != http.StatusOK || s.dump(router, "router", &dump) != nil {
		return false
	}
	n := 0
	for _, candidates := range dump.Services {
		n += len(candidates)
	}
	return n == backends
}

// await polls until the condition holds; conditions read state of other processes.
func await(limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return errors.Errorf("not within %s: %s", limit, what)
		}
	}
	return nil
}
