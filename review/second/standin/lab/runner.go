package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// weights is the version of the weights of all runners.
const weights = "1"

// Runner is a runner that answers plain requests.
type Runner struct {
	ID, Service, Zone string
	Address           string // listed in the store
	Work              time.Duration
	Slots             int

	record *Record
	store  *Store
	own    string // where it listens; the listed address is that of the link before it
	link   *Link
	slots  chan struct{}
}

// NewRunner starts a runner behind a link and registers it.
func NewRunner(store *Store, record *Record, ip, id, service, zone string) (*Runner, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, Service: service, Zone: zone, Work: 60 * time.Millisecond, Slots: 6, record: record, store: store, own: l.Addr().String()}
	r.slots = make(chan struct{}, r.Slots)
	if r.link, err = NewLink(ip, r.own); err != nil {
		return nil, err
	}
	r.Address = r.link.Address
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", id) })
	mux.HandleFunc("GET /pearyard/report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"phase":"unified","models":[],"busy":false,"seq":0,"queued":0,"active":%d,"kvUsedTokens":0,"kvTotalTokens":0,"kvHandles":0}`, len(r.slots))
	})
	mux.HandleFunc("/", r.serve)
	go func() { _ = (&http.Server{Handler: mux, IdleTimeout: 20 * time.Second}).Serve(l) }()
	go func() {
		for seq := 1; ; seq++ {
			r.register(seq)
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return r, nil
}

// register writes the runner's entry. The store shows a write in which only seq differs as no
// change.
func (r *Runner) register(seq int) {
	if seq > 1 {
		return
	}
	value, _ := json.Marshal(map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": "ready", "coldRemainingMs": 0, "seq": seq,
	})
	r.store.Put("servers", r.ID, value)
}

// Link returns the link between the system and the runner.
func (r *Runner) Link() *Link { return r.link }

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := req.Header.Get("Target-Instance"); want != "" && want != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if want := req.Header.Get("Expected-Version"); want != "" && want != weights {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(req.Body)
	select {
	case r.slots <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	r.record.Add("run", id, r.ID, r.Service)
	time.Sleep(r.Work)
	answer := fmt.Sprintf("%s ran %s of %d bytes", r.ID, req.RequestURI, len(body))
	w.Header().Set("Response-Signature", r.ID+"."+id)
	w.Header().Set("Weight-Versions", weights)
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d", len(r.slots), r.Slots))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// Link is the network between the system and one runner.
type Link struct {
	Address string
	target  string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// NewLink starts a link to target.
func NewLink(ip, target string) (*Link, error) {
	l := &Link{target: target, conns: map[net.Conn]struct{}{}}
	return l, l.listen(net.JoinHostPort(ip, "0"))
}

func (l *Link) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener, l.Address = listener, listener.Addr().String()
	l.mu.Unlock()
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(in)
		}
	}()
	return nil
}

// Refuse cuts the link: its connections are reset, and new ones are refused.
func (l *Link) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// Heal ends Refuse.
func (l *Link) Heal() error { return l.listen(l.Address) }

func (l *Link) pass(in net.Conn) {
	out, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = in.Close()
		return
	}
	l.mu.Lock()
	l.conns[in], l.conns[out] = struct{}{}, struct{}{}
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
	_, _ = in.Close(), out.Close()
	l.mu.Lock()
	delete(l.conns, in)
	delete(l.conns, out)
	l.mu.Unlock()
}
