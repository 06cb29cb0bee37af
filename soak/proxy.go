package soak

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Mode determines what a proxy does with its connections.
type Mode int

// Modes of a proxy.
const (
	Pass    Mode = iota
	Delay        // data is delayed by proxyDelay in both directions
	Silence      // no data passes in either direction; connections stay open
	OneWay       // no data passes from the target back to the client; connections stay open
	Refuse       // existing and new connections are reset at once
)

const (
	proxyDelay        = 60 * time.Millisecond
	proxyPollInterval = 5 * time.Millisecond // between checks whether held data may pass
	proxyBufferSize   = 16 << 10             // bytes
)

// Proxy is a TCP proxy in front of one address that can disturb its connections.
type Proxy struct {
	Address  string
	target   string
	listener net.Listener

	mu        sync.Mutex
	mode      Mode
	conns     map[net.Conn]struct{}
	disturbed disturbanceLog
}

// NewProxy starts a proxy to target on a free port of loopback.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), target: target, listener: listener, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Set changes the mode, also for existing connections.
func (p *Proxy) Set(m Mode) {
	if m != Pass {
		p.disturbed.begin()
	}
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	switch m {
	case Pass:
		p.disturbed.end()
	case Refuse:
		p.Reset()
	}
}

// Reset closes all connections, to clients and to the target, with a TCP reset.
func (p *Proxy) Reset() {
	p.disturbed.moment()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *Proxy) serve(in net.Conn) {
	p.track(in)
	defer p.untrack(in)
	if p.currentMode() == Refuse {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	p.track(out)
	defer p.untrack(out)
	done := make(chan struct{}, 2)
	go p.copy(out, in, false, done)
	go p.copy(in, out, true, done)
	<-done
	p.shutDown(in, out)
}

// shutDown ends connections for their peers, also while a process that is being started has a
// copy of their descriptors, which a close alone would wait for. A reset in progress goes first.
func (p *Proxy) shutDown(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
}

// copy forwards data as the mode allows. Data that the mode holds back passes once the mode
// changes, also if the client closes meanwhile, as on a path that is cut.
func (p *Proxy) copy(to, from net.Conn, toClient bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !toClient && hasClosed(from) {
			return // read late: the target would begin what the client has already given up
		}
		for mode := p.currentMode(); mode == Silence || (mode == OneWay && toClient); mode = p.currentMode() {
			time.Sleep(proxyPollInterval)
		}
		if p.currentMode() == Delay {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// hasClosed reports whether the peer has closed or reset the connection and all of its data
// has been read.
func hasClosed(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || (n <= 0 && !errors.Is(peekErr, syscall.EAGAIN))
}

func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}
