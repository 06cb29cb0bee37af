package embedded

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing/httpapi"
	"github.com/pearyard/pearyard/client"
	"github.com/pearyard/pearyard/config"
	"github.com/pearyard/pearyard/node"
	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/text"
)

// Names, keys and versions that a site is configured with.
const (
	ModelService = "models"
	PlainService = "labels"
	Model        = "pear-draft"
	ModelVersion = "1"
	Organisation = "demo"
	APIKey       = "demo-key"
	AdminToken   = "embedded-admin"
)

const (
	readyInterval = 20 * time.Millisecond // between two checks whether a router is ready
	readyTimeout  = 15 * time.Second      // for all routers of a site
)

// Options configure a site; zero values take small defaults.
type Options struct {
	Routers  int // default 2
	Engines  int // number of engines, each with a sidecar; default 3
	Plains   int // number of backend servers of the plain service, each with a sidecar; default 1
	Zones    int // number of availability zones that the processes are spread over; default 3
	Engine   standin.EngineOptions
	Plain    standin.PlainOptions
	Platform standin.PlatformOptions
	Policy   string             // routing policy; empty: the routers' default
	Edit     func(*text.Config) // changes the initial configuration before it is applied; may be nil
	Logger   log.Logger         // default: none
}

func (o Options) withDefaults() Options {
	setDefault(&o.Routers, 2)
	setDefault(&o.Engines, 3)
	setDefault(&o.Plains, 1)
	setDefault(&o.Zones, 3)
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return o
}

func setDefault(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

// Engine is a stand-in engine with its sidecar.
type Engine struct {
	*standin.Engine
	Name    string        // name of the backend server
	Sidecar *Process      // process that runs Node
	Node    *node.Sidecar // the sidecar itself
}

// Plain is a stand-in plain service with its sidecar: one backend server of PlainService.
type Plain struct {
	*standin.Plain
	Name    string        // name of the backend server
	Sidecar *Process      // process that runs Node
	Node    *node.Sidecar // the sidecar itself
}

// Router is a router with its addresses.
type Router struct {
	*Process
	Node           *node.Router
	CallersAddress string
	AdminAddress   string
}

// Site is a running site.
type Site struct {
	Platform *standin.Platform
	Engines  []*Engine
	Plains   []*Plain
	Routers  []*Router
	Text     []byte // the initial configuration as JSON

	opts      Options
	platform  node.Platform
	stopFuncs []func() // close the servers of the stand-ins
	seeds     []string // peer addresses of the sidecars started so far
}

// Start starts a site and returns when all its routers are ready.
func Start(ctx context.Context, opts Options) (*Site, error) {
	opts = opts.withDefaults()
	s := &Site{opts: opts, Platform: standin.NewPlatform(opts.Platform)}
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	address, err := s.serveStandin(s.Platform)
	if err != nil {
		return err
	}
	at := httpapi.Options{Address: address}
	s.platform = node.Platform{
		Table: httpapi.NewTable(at), Objects: httpapi.NewObjects(at),
		VMs: httpapi.NewVMList(at), Weights: httpapi.NewWeights(at),
	}
	for i := range s.opts.Engines {
		if err := s.startEngine(i); err != nil {
			return err
		}
	}
	for i := range s.opts.Plains {
		if err := s.startPlain(i); err != nil {
			return err
		}
	}
	if err := s.applyInitialConfiguration(ctx); err != nil {
		return err
	}
	for range s.opts.Routers {
		if err := s.StartRouter(len(s.Routers)); err != nil {
			return err
		}
	}
	return s.Ready(ctx)
}

// serveStandin serves a stand-in until the site stops.
func (s *Site) serveStandin(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "embedded: listen for a stand-in")
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	s.stopFuncs = append(s.stopFuncs, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// zone returns the availability zone of the engine, plain service or router with index i.
func (s *Site) zone(i int) string { return fmt.Sprintf("zone-%d", i%s.opts.Zones+1) }

func (s *Site) applyInitialConfiguration(ctx context.Context) error {
	initial := s.initialConfiguration()
	if s.opts.Edit != nil {
		s.opts.Edit(initial)
	}
	raw, err := json.MarshalIndent(initial, "", "  ")
	if err != nil {
		return errors.Wrap(err, "embedded: encode initial configuration")
	}
	s.Text = raw
	store := config.NewStore(config.StoreOptions{Table: s.platform.Table, Objects: s.platform.Objects})
	_, _, err = store.Accept(ctx, 0, raw, "embedded", "first text")
	return errors.Wrap(err, "embedded: apply initial configuration")
}

func (s *Site) initialConfiguration() *text.Config {
	hash := sha256.Sum256([]byte(APIKey))
	models := text.Service{
		Name: ModelService, Kind: text.KindModel, Calls: text.CallsRepeatable, RetryBudget: text.DefaultRetryBudget,
		DependsOn: []text.Dependency{{Model: Model, Version: ModelVersion}},
	}
	for i, e := range s.Engines {
		models.BackendServers = append(models.BackendServers, text.BackendServer{Name: e.Name, Zone: s.zone(i), Sidecar: e.Node.Address(), ChecksFencing: true})
	}
	labels := text.Service{
		Name: PlainService, Kind: text.KindPlain, Calls: text.CallsAtMostOnce, RetryBudget: text.DefaultRetryBudget,
		DependsOn: []text.Dependency{},
	}
	for i, p := range s.Plains {
		labels.BackendServers = append(labels.BackendServers, text.BackendServer{Name: p.Name, Zone: s.zone(i), Sidecar: p.Node.Address()})
	}
	recovery := text.DefaultRecovery()
	recovery.JournalAfterMillis = 200 // generations here are short: with the default of 2 s many would end before they are journalled
	return &text.Config{
		Services:      []text.Service{models, labels},
		Models:        []text.Model{{Name: Model, Version: ModelVersion}},
		Adapters:      []text.Adapter{},
		Organisations: []text.Organisation{{Name: Organisation, Weight: 1, KeySHA256: []string{hex.EncodeToString(hash[:])}}},
		Recovery:      recovery,
		Limits:        text.DefaultLimits(),
	}
}

// Ready waits until every running router is ready for callers.
func (s *Site) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, r := range s.Routers {
		for r.Running() && !ready(r.CallersAddress) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "embedded: the router that listens for callers on %s is not ready", r.CallersAddress)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

func ready(address string) bool {
	resp, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Client returns a client that uses all routers of the site.
func (s *Site) Client() *client.Client {
	var addresses []string
	for _, r := range s.Routers {
		addresses = append(addresses, r.CallersAddress)
	}
	return client.New(client.Options{Routers: addresses, Key: APIKey})
}

// Stop kills all routers, sidecars and stand-ins.
func (s *Site) Stop() {
	var wait sync.WaitGroup
	for _, r := range s.Routers {
		wait.Go(r.Kill)
	}
	for _, e := range s.Engines {
		e.Kill()
		wait.Go(e.Sidecar.Kill)
	}
	for _, p := range s.Plains {
		p.Kill()
		wait.Go(p.Sidecar.Kill)
	}
	wait.Wait()
	s.Platform.Kill()
	for _, stop := range s.stopFuncs {
		stop()
	}
}
