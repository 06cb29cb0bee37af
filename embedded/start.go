package embedded

import (
	"fmt"

	"github.com/pearyard/pearyard/engine/httpapi"
	"github.com/pearyard/pearyard/node"
	plainhttp "github.com/pearyard/pearyard/plain/httpapi"
	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/types"
)

func (s *Site) commonOptions(id string, i int, peers *killableListener) node.Common {
	return node.Common{
		ID: types.ProcessID(id), Zone: types.Zone(s.zone(i)), Peers: peers,
		Seeds: append([]string(nil), s.seeds...), Platform: s.platform, Logger: s.opts.Logger,
	}
}

func (s *Site) startEngine(i int) error {
	e := &Engine{Engine: standin.NewEngine(s.opts.Engine), Name: fmt.Sprintf("engine-%d", i+1)}
	address, err := s.serveStandin(e.Engine)
	if err != nil {
		return err
	}
	e.Node, e.Sidecar, err = s.startSidecar(e.Name, i, func(o *node.SidecarOptions) {
		o.Engine = httpapi.New(httpapi.Options{Address: address})
	})
	s.Engines = append(s.Engines, e)
	return err
}

func (s *Site) startPlain(i int) error {
	p := &Plain{Plain: standin.NewPlain(s.opts.Plain), Name: fmt.Sprintf("plain-%d", i+1)}
	address, err := s.serveStandin(p.Plain)
	if err != nil {
		return err
	}
	p.Node, p.Sidecar, err = s.startSidecar(p.Name, i, func(o *node.SidecarOptions) {
		o.Plain = plainhttp.New(plainhttp.Options{Address: address})
	})
	s.Plains = append(s.Plains, p)
	return err
}

// startSidecar starts the sidecar of the backend server name. set adds the client of
// that server to the options.
func (s *Site) startSidecar(name string, i int, set func(*node.SidecarOptions)) (*node.Sidecar, *Process, error) {
	peers, err := listen()
	if err != nil {
		return nil, nil, err
	}
	opts := node.SidecarOptions{Common: s.commonOptions(name+"-sidecar", i, peers), BackendServer: name}
	set(&opts)
	sidecar, err := node.NewSidecar(opts)
	if err != nil {
		return nil, nil, err
	}
	s.seeds = append(s.seeds, sidecar.Address())
	return sidecar, startProcess([]*killableListener{peers}, sidecar.Run), nil
}

// StartRouter starts the router with index i: a new one, or the replacement of one
// that was killed.
func (s *Site) StartRouter(i int) error {
	var listeners []*killableListener // for peers, callers and administration
	for range 3 {
		l, err := listen()
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
	}
	opts := node.RouterOptions{
		Common:  s.commonOptions(fmt.Sprintf("router-%d", i+1), i, listeners[0]),
		Callers: listeners[1], Admin: listeners[2], AdminToken: AdminToken, Policy: s.opts.Policy,
	}
	router, err := node.NewRouter(opts)
	if err != nil {
		return err
	}
	r := &Router{Process: startProcess(listeners, router.Run), Node: router, CallersAddress: router.CallersAddress(), AdminAddress: listeners[2].Addr().String()}
	if i < len(s.Routers) {
		s.Routers[i] = r
	} else {
		s.Routers = append(s.Routers, r)
	}
	return nil
}
