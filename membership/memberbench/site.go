// Package memberbench measures package membership over loopback sockets: all
// members run in one process and exchange real calls and headers.
package memberbench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/membership"
	"github.com/pearyard/pearyard/peer"
	"github.com/pearyard/pearyard/types"
)

const (
	seedCount      = 3
	startGroupSize = 20                    // members started at once
	startInterval  = 50 * time.Millisecond // between two such groups
	pollInterval   = 10 * time.Millisecond
	// idleTimeout is when idle connections of the members are closed. Package peer
	// keeps them longer, which would exceed the limit on open files with hundreds
	// of members in one process. The shorter timeout costs bytes, since more
	// connections are opened.
	idleTimeout = time.Second
	// sidecarsPerRouter is the ratio at the target size of a site: 400 routers and
	// 1,600 sidecars.
	sidecarsPerRouter = 4
)

// traffic counts what passes all listeners, each byte and connection once.
type traffic struct {
	bytes       atomic.Int64 // HTTP, headers included
	segments    atomic.Int64 // reads and writes that transferred bytes: about one packet each
	connections atomic.Int64
}

type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.traffic.connections.Add(1)
	return countingConn{c, l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

func (c countingConn) count(n int) {
	if n > 0 {
		c.traffic.bytes.Add(int64(n))
		c.traffic.segments.Add(1)
	}
}

// process is one member with its listener.
type process struct {
	*membership.Membership
	id           types.ProcessID
	revision     atomic.Uint64
	unresponsive atomic.Bool // killed: accepts connections but never responds
	peer         *peer.Peer
	server       *http.Server
	cancel       context.CancelFunc // stops Run
	done         chan struct{}      // closed when Run has returned
}

// site is a set of members that find each other by seeds.
type site struct {
	traffic   traffic
	processes []*process
	seeds     []string
	stopped   chan struct{}
}

func (s *site) startProcess(i int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	p := &process{id: types.ProcessID(fmt.Sprintf("member-%04d", i)), done: make(chan struct{})}
	address := listener.Addr().String()
	incarnation := types.NewIncarnation(time.Now())
	revision := func() types.Revision { return types.Revision(p.revision.Load()) }
	p.peer = peer.New(peer.Options{
		Self:     peer.Identity{ID: p.id, Incarnation: incarnation, Address: address},
		Revision: revision,
	})
	role, backend := types.RoleSidecar, fmt.Sprintf("backend-%04d", i)
	if i%(sidecarsPerRouter+1) == 0 {
		role, backend = types.RoleRouter, ""
	}
	p.Membership, err = membership.New(membership.Options{
		Self: membership.Member{ID: p.id, Role: role, Address: address, Zone: "zone-1",
			BackendServer: backend, Incarnation: incarnation},
		Seeds:      s.seeds,
		HTTPClient: p.peer.Client(),
		Recorder:   event.Discard(),
		Revision:   revision,
		OnRevision: p.applyRevision,
	})
	if err != nil {
		return err
	}
	p.serve(countingListener{listener, &s.traffic})
	if len(s.seeds) < seedCount {
		s.seeds = append(s.seeds, address)
	}
	go p.closeIdle(s.stopped)
	s.processes = append(s.processes, p)
	return nil
}

// applyRevision stands in for fetching a revision, which takes no time here.
func (p *process) applyRevision(_ string, rev types.Revision) {
	for old := p.revision.Load(); uint64(rev) > old; old = p.revision.Load() {
		if p.revision.CompareAndSwap(old, uint64(rev)) {
			go p.AnnounceRevision()
			return
		}
	}
}

func (p *process) serve(l net.Listener) {
	handler := p.peer.Handler(p.Handler())
	p.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.unresponsive.Load() {
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	})}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { _ = p.server.Serve(l) }()
	go func() {
		defer close(p.done)
		_ = p.Run(ctx)
	}()
}

// kill makes the process unresponsive like a VM that is gone: connections are not
// refused.
func (p *process) kill() {
	p.unresponsive.Store(true)
	p.cancel()
	<-p.done
}

// startSite starts n members in groups and waits until all know each other.
func startSite(n int, bound time.Duration) (*site, error) {
	s := &site{stopped: make(chan struct{})}
	for i := range n {
		if err := s.startProcess(i); err != nil {
			return s, err
		}
		if (i+1)%startGroupSize == 0 {
			time.Sleep(startInterval)
		}
	}
	_, err := s.wait(bound, s.alive(), func(p *process) bool {
		v := p.Snapshot()
		return len(v.Alive(types.RoleRouter))+len(v.Alive(types.RoleSidecar)) == n
	})
	return s, errors.Wrap(err, "wait until all members know each other")
}

// closeIdle closes the idle connections of the process every idleTimeout.
func (p *process) closeIdle(stopped <-chan struct{}) {
	ticker := time.NewTicker(idleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.C:
			p.peer.Close()
		}
	}
}

func (s *site) stop() {
	close(s.stopped)
	var wg sync.WaitGroup
	for _, p := range s.processes {
		p.cancel()
	}
	for _, p := range s.processes {
		wg.Go(func() {
			<-p.done
			_ = p.server.Close()
			p.peer.Close()
		})
	}
	wg.Wait()
}

// alive returns the processes that have not been killed.
func (s *site) alive() []*process {
	var out []*process
	for _, p := range s.processes {
		if !p.unresponsive.Load() {
			out = append(out, p)
		}
	}
	return out
}

// errTimeout reports that a condition was not met by all processes in time.
var errTimeout = errors.New("memberbench: timed out")

// wait returns how long it took until holds was true for all processes.
func (s *site) wait(bound time.Duration, processes []*process, holds func(*process) bool) (time.Duration, error) {
	return s.poll(pollInterval, bound, processes, holds)
}

// poll is wait with the given interval between two checks.
func (s *site) poll(interval, bound time.Duration, processes []*process, holds func(*process) bool) (time.Duration, error) {
	begin := time.Now()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	remaining := append([]*process(nil), processes...)
	for {
		rest := remaining[:0]
		for _, p := range remaining {
			if !holds(p) {
				rest = append(rest, p)
			}
		}
		remaining = rest
		took := time.Since(begin)
		if len(remaining) == 0 {
			return took, nil
		}
		if took > bound {
			return took, errors.Wrapf(errTimeout, "%d processes left after %s", len(remaining), took)
		}
		<-ticker.C
	}
}
