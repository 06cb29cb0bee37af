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
	service      = "models"
	model        = "pear-draft"
	modelVersion = "1"
	apiKey       = "measure-key"
	adminToken   = "measure-admin"
	zones        = 3
	readyTimeout = 60 * time.Second
	readyPoll    = 20 * time.Millisecond
	capacity     = 64   // requests in an engine's batch
	ownCapacity  = 4096 // of an engine in this process
)

// engineTimes are the stand-in engines' own times.
type engineTimes struct {
	Step       time.Duration `json:"step"`
	PerRequest time.Duration `json:"per_request"`
	Prefill    time.Duration `json:"prefill_per_token"`
}

// siteOptions describe a site of processes.
type siteOptions struct {
	bin      string
	engines  int
	routers  int
	policy   string
	relays   bool // lead the way to each sidecar through a relay
	times    engineTimes
	recovery text.Recovery
	vmLag    time.Duration // of the platform's VM list
	own      []*ownEngine  // engines of this process in place of stand-in processes
}

// backend is an engine with the sidecar beside it: one VM.
type backend struct {
	name    string
	engine  *process // nil if it runs in this process
	sidecar *process
	relay   *relay // nil without relays
}

// site is a running site of processes.
type site struct {
	opts     siteOptions
	platform *process
	backends []*backend
	routers  []*process
	store    *config.Store
	raw      []byte
	revision uint64
}

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
	at := httpapi.Options{Address: s.platform.address[soleAddress]}
	s.store = config.NewStore(config.StoreOptions{Table: httpapi.NewTable(at), Objects: httpapi.NewObjects(at)})
	if s.backends[0], err = s.backend(0); err != nil {
		return err
	}
	if err := each(s.opts.engines-1, func(i int) (err error) { s.backends[i+1], err = s.backend(i + 1); return err }); err != nil {
		return err
	}
	if s.raw, err = json.MarshalIndent(s.text(), "", " "); err != nil {
		return err
	}
	if err := s.apply(ctx); err != nil {
		return err
	}
	s.routers = make([]*process, s.opts.routers)
	if err := each(s.opts.routers, func(i int) (err error) { s.routers[i], err = s.router(i); return err }); err != nil {
		return err
	}
	return s.ready(ctx)
}

// each runs f for 0 to n-1 at once and returns an error of one of them.
func each(n int, f func(int) error) error {
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

// apply accepts s.raw as the next text.
func (s *site) apply(ctx context.Context) error {
	revision, _, err := s.store.Accept(ctx, 0, s.raw, "measure", "measurement")
	s.revision = uint64(revision)
	return errors.Wrap(err, "measure: apply")
}

func (s *site) common(id string, i int) []string {
	at := s.platform.address[soleAddress]
	args := []string{"--id", id, "--zone", fmt.Sprintf("zone-%d", i%zones+1), "--peer-listen", "127.0.0.1:0",
		"--table", at, "--objects", at, "--vm-list", at, "--weights", at, "--log-level", "error"}
	if first := s.backends[0]; first != nil {
		args = append(args, "--seeds", s.sidecarAddress(first))
	}
	return args
}

func (s *site) backend(i int) (*backend, error) {
	times := s.opts.times
	b := &backend{name: fmt.Sprintf("engine-%d", i+1)}
	var err error
	address := ""
	if s.opts.own != nil {
		address = s.opts.own[i].address
	} else {
		b.engine, err = startProcess(s.opts.bin, programStandin, b.name, "engine", "--check-fence",
			"--step-base", times.Step.String(), "--step-per-request", times.PerRequest.String(),
			"--prefill-per-token", times.Prefill.String(), "--capacity", fmt.Sprint(capacity))
		if err != nil {
			return nil, err
		}
		address = b.engine.address[soleAddress]
	}
	name := fmt.Sprintf("sidecar-%d", i+1)
	args := append(s.common(name, i), "--backend-server", b.name, "--service", service, "--kind", "model", "--backend", address)
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

func (s *site) sidecarAddress(b *backend) string {
	if b.relay != nil {
		return b.relay.address()
	}
	return b.sidecar.address["peers"]
}

func (s *site) router(i int) (*process, error) {
	args := append(s.common(fmt.Sprintf("router-%d", i+1), i), "--listen", "127.0.0.1:0",
		"--admin-listen", "127.0.0.1:0", "--admin-token", adminToken)
	if s.opts.policy != "" {
		args = append(args, "--policy", s.opts.policy)
	}
	return startProcess(s.opts.bin, programRouter, fmt.Sprintf("router-%d", i+1), args...)
}

func (s *site) text() *text.Config {
	hash := sha256.Sum256([]byte(apiKey))
	models := text.Service{Name: service, Kind: text.KindModel, Calls: text.CallsRepeatable, RetryBudget: text.DefaultRetryBudget,
		DependsOn: []text.Dependency{{Model: model, Version: modelVersion}}}
	for i, b := range s.backends {
		models.BackendServers = append(models.BackendServers, text.BackendServer{
			Name: b.name, Zone: fmt.Sprintf("zone-%d", i%zones+1), Sidecar: s.sidecarAddress(b), ChecksFencing: true, Capacity: s.capacity()})
	}
	return &text.Config{
		Services: []text.Service{models}, Models: []text.Model{{Name: model, Version: modelVersion}}, Adapters: []text.Adapter{},
		Organisations: []text.Organisation{{Name: "measure", Weight: 1, KeySHA256: []string{hex.EncodeToString(hash[:])}}},
		Recovery:      s.opts.recovery, Limits: text.DefaultLimits(),
	}
}

func (s *site) capacity() int {
	if s.opts.own != nil {
		return ownCapacity
	}
	return capacity
}

// ready waits until every router sees every backend server.
func (s *site) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, r := range s.routers {
		for !s.sees(r) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "measure: %s is not ready", r.name)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func (s *site) sees(router *process) bool {
	resp, err := http.Get("http://" + router.address["callers"] + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	var dump struct{ Services map[string][]json.RawMessage }
	return resp.StatusCode == http.StatusOK && readDump(router, "router", &dump) == nil &&
		len(dump.Services[service]) == s.opts.engines
}

func (s *site) callers() []string {
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
