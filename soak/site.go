package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

// Host of the routes and names of the services of a site.
const (
	host         = "soak.example"
	modelService = "llm"
	plainService = "app"
)

// Size determines the numbers of processes, servers and callers of a site, and their limits.
type Size struct {
	VMs          int // processes of the entry program
	ModelServers int // servers of the model service
	PlainServers int // servers of the plain service
	IdleCallers  int // callers per VM that leave their connection idle between requests
	// NewConnectionCallers per VM open a connection for each request.
	NewConnectionCallers int
	// Versions of the software of the model servers, by turns; empty: all have the same.
	Versions         []string
	ReturningCallers int // callers per VM that come back for the rest of a stream that was cut off
	// Engine has the limits of the engines of the model service while disruptions go on;
	// afterwards they have none.
	Engine nursery.EngineLimits
	// Plain has the limits of the servers of the plain service in the same time.
	Plain nursery.EngineLimits
	// Contended means several stream routes and two organisations of different priorities.
	Contended bool
	Grace     time.Duration // time from SIGTERM to SIGKILL at a planned stop; 0 means defaultGrace
}

// DefaultSize is small enough to run beside other tests: each zone has an entry VM and
// servers of both services.
var DefaultSize = Size{VMs: 3, ModelServers: 6, PlainServers: 3}

func (s Size) grace() time.Duration {
	if s.Grace > 0 {
		return s.Grace
	}
	return defaultGrace
}

var zones = []string{"a", "b", "c"}

// Site is a set of entry VMs with stand-ins for the store and the backend servers.
type Site struct {
	Store   *nursery.Store
	Cloud   *nursery.Cloud
	VMs     []*VM
	Servers []*nursery.Server // those of the model service first
	size    Size
	callers *Callers                   // set by Run, for the disruption that adds load
	proxies map[*nursery.Server]*Proxy // in front of the servers
	ports   *portBlock                 // nil until the VMs are configured

	mu            sync.Mutex
	version       int // of the newest configuration
	configuration Configuration
	probes        []probe  // sent so far
	leavers       []leaver // starts that have left so far
}

// NewSite starts a site and waits until its VMs are ready. Settings and logs are written to dir.
func NewSite(dir string, size Size) (*Site, error) {
	collectBetweenStarts()
	stalls.watch()
	store, err := nursery.NewStore()
	if err != nil {
		return nil, err
	}
	s := &Site{Store: store, Cloud: nursery.NewCloud(store), size: size, proxies: map[*nursery.Server]*Proxy{}, configuration: initialConfiguration()}
	s.configuration.Contended = size.Contended
	s.Configure(nil)
	if err := s.startAll(dir); err != nil {
		// Processes left running would send requests to the ports of later sites.
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) startAll(dir string) error {
	for i := range s.size.ModelServers + s.size.PlainServers {
		if err := s.addServer(i); err != nil {
			return err
		}
	}
	return s.addVMs(dir, s.size.VMs)
}

func (s *Site) addServer(i int) error {
	service := modelService
	if i >= s.size.ModelServers {
		service = plainService
	}
	var proxy *Proxy
	var proxyErr error
	version := nursery.DefaultVersion
	if n := len(s.size.Versions); n > 0 && service == modelService {
		version = s.size.Versions[i/len(zones)%n] // each zone has all of them
	}
	server, err := s.Cloud.NewServerOfVersion(service, zones[i%len(zones)], version, func(ownAddress string) string {
		if proxy, proxyErr = NewProxy(ownAddress); proxyErr != nil {
			return ownAddress
		}
		return proxy.Address
	})
	if err != nil || proxyErr != nil {
		return fmt.Errorf("soak: start server %d (service %q): server: %v, proxy: %v", i, service, err, proxyErr)
	}
	s.Servers = append(s.Servers, server)
	s.proxies[server] = proxy
	return nil
}

func (s *Site) addVMs(dir string, n int) error {
	var err error
	if s.ports, err = acquirePorts(); err != nil {
		return err
	}
	var seedNodes []string
	// The first VMs are the seeds. The program uses only the IP address of a seed and
	// replaces the port by its own first peer port.
	for i := range min(n, 3) {
		seedNodes = append(seedNodes, fmt.Sprintf("\"%s:%d\"", ipOf(i), s.ports.firstPeerPort()+1))
	}
	for i := range n {
		proxy, err := NewProxy(s.Store.Address)
		if err != nil {
			return err
		}
		vm, err := newVM(dir, i, zones[i%len(zones)], s.ports, seedNodes, proxy, s.size.grace())
		if err != nil {
			return err
		}
		s.VMs = append(s.VMs, vm)
		if err := vm.start(); err != nil {
			return err
		}
	}
	for _, vm := range s.VMs {
		if err := vm.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// limitEngines sets the limits of the engines of the model service.
func (s *Site) limitEngines(engine nursery.EngineLimits) {
	for _, server := range s.Servers[:s.size.ModelServers] {
		server.SetEngineLimits(engine)
	}
}

// limitPlainServers sets the limits of the servers of the plain service.
func (s *Site) limitPlainServers(limits nursery.EngineLimits) {
	for _, server := range s.Servers[s.size.ModelServers:] {
		server.SetEngineLimits(limits)
	}
}

// Close ends every process that the site started, by its process id.
func (s *Site) Close() {
	for _, vm := range s.VMs {
		if vm.paused.Load() {
			vm.resume()
		}
		vm.kill()
		vm.storeProxy.Close()
	}
	for _, p := range s.proxies {
		p.Close()
	}
	for _, server := range s.Servers {
		server.Crash()
	}
	s.Store.Close()
	s.ports.release()
}
