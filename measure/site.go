package measure

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing/httpapi"
	"github.com/pearyard/pearyard/config"
	"github.com/pearyard/pearyard/text"
)

const (
	service           = "models"
	model             = "pear-draft"
	modelVersion      = "1"
	apiKey            = "measure-key"
	adminToken        = "measure-admin"
	zoneCount         = 3
	readyTimeout      = 60 * time.Second      // for all routers of a site
	readyPoll         = 20 * time.Millisecond // between two checks whether a router is ready
	capacity          = 64                    // batch size of an engine process
	inProcessCapacity = 4096                  // batch size of an engine in this process; large, so that no request is queued
)

// engineTimes configure the speed of the stand-in engines.
type engineTimes struct {
	Step       time.Duration `json:"step"`              // of a batch: one token per request
	PerRequest time.Duration `json:"per_request"`       // added to a step per request in the batch
	Prefill    time.Duration `json:"prefill_per_token"` // added to a step per prompt token to prefill
}

// siteOptions configure a site of processes.
type siteOptions struct {
	bin       string // directory of the programs under test; empty: this binary
	engines   int
	routers   int
	policy    string // routing policy; empty: the routers' default
	relays    bool   // put a relay in front of each sidecar
	times     engineTimes
	recovery  text.Recovery
	vmLag     time.Duration      // lag of the platform's VM list
	inProcess []*inProcessEngine // engines in this process to use instead of stand-in processes
}

// backend is an engine and its sidecar on one VM.
type backend struct {
	name    string
	engine  *process // nil if it runs in this process
	sidecar *process
	relay   *relay // nil without relays
}

// site is a running site of processes.
type site struct {
	opts          siteOptions
	platform      *process
	backends      []*backend
	routers       []*process
	store         *config.Store
	configuration []byte // as JSON
	revision      uint64 // of configuration
}

// startSite starts a site and returns when all its routers are ready.
func startSite(ctx context.Context, opts siteOptions) (*site, error) {
	s := &site{opts: opts, backends: make([]*backend, opts.engines)}
	if err := s.start(ctx); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *site) start(ctx context.Context) (err error) {
	if s.platform, err = startProcess(s.opts.bin, programStandin, "platform", "platform", "--vm-lag", s.opts.vmLag.String()); err != nil {
		return err
	}
	at := httpapi.Options{Address: s.platform.address[singleAddress]}
	s.store = config.NewStore(config.StoreOptions{Table: httpapi.NewTable(at), Objects: httpapi.NewObjects(at)})
	// The other processes need the address of the first sidecar as their seed.
	if s.backends[0], err = s.startBackend(0); err != nil {
		return err
	}
	if err := forEachParallel(s.opts.engines-1, func(i int) (err error) { s.backends[i+1], err = s.startBackend(i + 1); return err }); err != nil {
		return err
	}
	if s.configuration, err = json.MarshalIndent(s.configurationText(), "", " "); err != nil {
		return err
	}
	if err := s.apply(ctx); err != nil {
		return err
	}
	s.routers = make([]*process, s.opts.routers)
	if err := forEachParallel(s.opts.routers, func(i int) (err error) { s.routers[i], err = s.startRouter(i); return err }); err != nil {
		return err
	}
	return s.waitReady(ctx)
}

// forEachParallel runs f for 0 to n-1 concurrently, waits for all, and returns the first
// error by index.
func forEachParallel(n int, f func(int) error) error {
	errs := make([]error, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { errs[i] = f(i) })
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// apply stores s.configuration as the next revision.
func (s *site) apply(ctx context.Context) error {
	revision, _, err := s.store.Accept(ctx, 0, s.configuration, "measure", "measurement")
	s.revision = uint64(revision)
	return errors.Wrap(err, "measure: apply configuration")
}

// commonArgs returns the arguments that routers and sidecars share.
func (s *site) commonArgs(id string, i int) []string {
	at := s.platform.address[singleAddress]
	args := []string{"--id", id, "--zone", fmt.Sprintf("zone-%d", i%zoneCount+1), "--peer-listen", "127.0.0.1:0",
		"--table", at, "--objects", at, "--vm-list", at, "--weights", at, "--log-level", "error"}
	if first := s.backends[0]; first != nil {
		args = append(args, "--seeds", s.sidecarAddress(first))
	}
	return args
}

// startBackend starts the engine and the sidecar with index i, with a relay if the site has
// relays.
func (s *site) startBackend(i int) (*backend, error) {
	times := s.opts.times
	b := &backend{name: fmt.Sprintf("engine-%d", i+1)}
	var err error
	address := ""
	if s.opts.inProcess != nil {
		address = s.opts.inProcess[i].address
	} else {
		b.engine, err = startProcess(s.opts.bin, programStandin, b.name, "engine", "--check-fence",
			"--step-base", times.Step.String(), "--step-per-request", times.PerRequest.String(),
			"--prefill-per-token", times.Prefill.String(), "--capacity", fmt.Sprint(capacity))
		if err != nil {
			return nil, err
		}
		address = b.engine.address[singleAddress]
	}
	name := fmt.Sprintf("sidecar-%d", i+1)
	args := append(s.commonArgs(name, i), "--backend-server", b.name, "--service", service, "--kind", "model", "--backend", address)
	if s.opts.relays {
		if b.relay, err = newRelay(); err != nil {
			return b, err
		}
		args = append(args, "--advertise", b.relay.address())
	}
	if b.sidecar, err = startProcess(s.opts.bin, programSidecar, name, args...); err != nil {
		return b, err
	}
	if b.relay != nil {
		b.relay.set(func() { b.relay.target = b.sidecar.address["peers"] })
	}
	return b, nil
}

// sidecarAddress returns the address at which peers reach a sidecar: that of its relay if
// there is one.
func (s *site) sidecarAddress(b *backend) string {
	if b.relay != nil {
		return b.relay.address()
	}
	return b.sidecar.address["peers"]
}

// startRouter starts the router with index i.
func (s *site) startRouter(i int) (*process, error) {
	args := append(s.commonArgs(fmt.Sprintf("router-%d", i+1), i), "--listen", "127.0.0.1:0",
		"--admin-listen", "127.0.0.1:0", "--admin-token", adminToken)
	if s.opts.policy != "" {
		args = append(args, "--policy", s.opts.policy)
	}
	return startProcess(s.opts.bin, programRouter, fmt.Sprintf("router-%d", i+1), args...)
}

// configurationText returns the configuration of the site.
func (s *site) configurationText() *text.Config {
	hash := sha256.Sum256([]byte(apiKey))
	models := text.Service{Name: service, Kind: text.KindModel, Calls: text.CallsRepeatable, RetryBudget: text.DefaultRetryBudget,
		DependsOn: []text.Dependency{{Model: model, Version: modelVersion}}}
	for i, b := range s.backends {
		models.BackendServers = append(models.BackendServers, text.BackendServer{
			Name: b.name, Zone: fmt.Sprintf("zone-%d", i%zoneCount+1), Sidecar: s.sidecarAddress(b), ChecksFencing: true, Capacity: s.capacity()})
	}
	return &text.Config{
		Services: []text.Service{models}, Models: []text.Model{{Name: model, Version: modelVersion}}, Adapters: []text.Adapter{},
		Organisations: []text.Organisation{{Name: "measure", Weight: 1, KeySHA256: []string{hex.EncodeToString(hash[:])}}},
		Recovery:      s.opts.recovery, Limits: text.DefaultLimits(),
	}
}

// capacity returns the batch size of the engines.
func (s *site) capacity() int {
	if s.opts.inProcess != nil {
		return inProcessCapacity
	}
	return capacity
}

// waitReady waits until every router is ready and knows every backend server.
func (s *site) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, r := range s.routers {
		for !s.knowsAllBackends(r) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "measure: %s is not ready, or doesn't know all %d backend servers", r.name, s.opts.engines)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// knowsAllBackends reports whether a router is ready and lists every backend server.
func (s *site) knowsAllBackends(router *process) bool {
	resp, err := http.Get("http://" + router.address["callers"] + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	var dump struct{ Services map[string][]json.RawMessage }
	return resp.StatusCode == http.StatusOK && readDump(router, "router", &dump) == nil &&
		len(dump.Services[service]) == s.opts.engines
}

// callerAddresses returns the addresses of the routers for callers.
func (s *site) callerAddresses() []string {
	var out []string
	for _, r := range s.routers {
		out = append(out, r.address["callers"])
	}
	return out
}

// stop ends every process that the site started.
func (s *site) stop() {
	all := append([]*process{s.platform}, s.routers...)
	for _, b := range s.backends {
		if b == nil {
			continue
		}
		all = append(all, b.sidecar, b.engine)
		if b.relay != nil {
			b.relay.close()
		}
	}
	var wait sync.WaitGroup
	for _, p := range all {
		if p != nil {
			wait.Go(p.kill)
		}
	}
	wait.Wait()
}
