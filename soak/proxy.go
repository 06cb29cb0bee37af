package soak

import (
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with its connections.
type Mode int

// Modes of a proxy.
const (
	Pass    Mode = iota
	Delay        // everything comes late
	Silence      // nothing passes, either way; connections stay open
	OneWay       // nothing comes back
	Refuse       // connections are reset at once
)

const (
	proxyDelay = 60 * time.Millisecond
	proxyLook  = 5 * time.Millisecond
	proxyBytes = 16 << 10
)

// Proxy stands before one address.
type Proxy struct {
	Address  string
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
}

// NewProxy starts a proxy to target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), target: target, listener: listener, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Set changes the mode, for connections that exist too.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == Refuse {
		p.Reset()
	}
}

// Reset breaks all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) now() Mode {
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
	p.keep(in)
	defer p.forget(in)
	if p.now() == Refuse {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	p.keep(out)
	defer p.forget(out)
	done := make(chan struct{}, 2)
	go p.copy(out, in, false, done)
	go p.copy(in, out, true, done)
	<-done
}

func (p *Proxy) copy(to, from net.Conn, back bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, proxyBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for mode := p.now(); mode == Silence || (mode == OneWay && back); mode = p.now() {
			time.Sleep(proxyLook)
		}
		if p.now() == Delay {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *Proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *Proxy) forget(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}
