package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/promptcache"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
)

// script is what a fake server does with one attempt.
type script func(ctx context.Context, a *Attempt) (*Answer, error)

// fakeBackend plays one script per server; servers without one refuse.
type fakeBackend struct {
	mu       sync.Mutex
	scripts  map[string][]script // by server id, played in order, the last one repeatedly
	attempts []Attempt
	probes   map[string]error                // result of a probe by server id; nil: alive; errHang: no answer
	born     map[string]int64                // by server id: start time that the process at its address reports
	copies   []*directory.Server             // servers on which copies were requested, in order
	freed    []string                        // handles of the copies that were released
	refusals int                             // how many of the next copies are refused
	cached   map[string]promptcache.Contents // by server id
	asked    []string                        // ids of servers that were asked what they have cached
	connect  func(n int) error               // connects for the attempt with this number, from 1; nil: at once
	frozen   time.Duration                   // how long the process is frozen during the next probe, which gets no answer in time
}

func (b *fakeBackend) Open(ctx context.Context, a *Attempt) (*Answer, error) {
	b.mu.Lock()
	b.attempts = append(b.attempts, *a)
	if n := len(b.attempts); b.connect != nil {
		b.mu.Unlock()
		if err := b.connect(n); err != nil {
			return nil, err
		}
		b.mu.Lock()
	}
	a.MarkSent()
	list := b.scripts[a.Server.ID]
	if len(list) == 0 {
		b.mu.Unlock()
		return nil, &NotRunError{Reason: Busy, Err: io.ErrClosedPipe}
	}
	play := list[0]
	if len(list) > 1 {
		b.scripts[a.Server.ID] = list[1:]
	}
	b.mu.Unlock()
	return play(ctx, a)
}

func (b *fakeBackend) Probe(ctx context.Context, s *directory.Server) (int64, error) {
	b.mu.Lock()
	err, born, frozen := b.probes[s.ID], b.born[s.ID], b.frozen
	b.frozen = 0
	b.mu.Unlock()
	if frozen > 0 {
		time.Sleep(frozen)
		return 0, &NotRunError{Reason: Unreachable, Err: context.DeadlineExceeded}
	}
	if err == errHang {
		<-ctx.Done()
		return 0, &NotRunError{Reason: Unreachable, Err: ctx.Err()}
	}
	return born, err
}

func (b *fakeBackend) CachedPrompts(ctx context.Context, s *directory.Server) (promptcache.Contents, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked = append(b.asked, s.ID)
	return b.cached[s.ID], nil
}

func (b *fakeBackend) Copy(_ context.Context, _ *Request, from, to *directory.Server) (*KVCopy, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.copies = append(b.copies, to)
	if b.refusals > 0 {
		b.refusals--
		return nil, io.ErrShortBuffer
	}
	return &KVCopy{Server: to, Source: from, Handle: "h"}, nil
}

// copyPlaces returns the servers on which copies were requested, each once.
func (b *fakeBackend) copyPlaces() map[*directory.Server]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	places := map[*directory.Server]bool{}
	for _, s := range b.copies {
		places[s] = true
	}
	return places
}

func (b *fakeBackend) Free(_ context.Context, c *KVCopy) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freed = append(b.freed, c.Handle)
	return nil
}

func (b *fakeBackend) sent() []Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Attempt(nil), b.attempts...)
}

// answers returns a plain response after a delay.
func answers(status int, body string, after time.Duration) script {
	return func(ctx context.Context, _ *Attempt) (*Answer, error) {
		select {
		case <-time.After(after):
			return &Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewBufferString(body))}, nil
		case <-ctx.Done():
			return nil, &BrokenError{Err: ctx.Err()}
		}
	}
}

// refuses proves at once that it did not run the attempt.
func refuses(reason NotRunReason) script {
	return func(context.Context, *Attempt) (*Answer, error) {
		return nil, &NotRunError{Reason: reason, Err: io.ErrClosedPipe}
	}
}

// breaks breaks off before a response.
func breaks() script {
	return func(context.Context, *Attempt) (*Answer, error) {
		return nil, &BrokenError{Err: io.ErrUnexpectedEOF}
	}
}

// streams sends events from the one after Attempt.ResumeAfter up to last, each after
// the gap. Then it ends the stream if how is nil, sends nothing more if how is errHang,
// and breaks the stream off with any other error.
func streams(last int, gap time.Duration, how error) script {
	return func(ctx context.Context, a *Attempt) (*Answer, error) {
		from := 0
		_, _ = fmt.Sscan(a.ResumeAfter, &from)
		r, w := io.Pipe()
		go func() {
			for i := from + 1; i <= last; i++ {
				select {
				case <-time.After(gap):
				case <-ctx.Done():
					_ = w.CloseWithError(ctx.Err())
					return
				}
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %d of %s\n\n", i, i, a.Server.ID); err != nil {
					return
				}
			}
			if how == errHang {
				<-ctx.Done()
				how = ctx.Err()
			}
			if how == nil {
				_ = w.Close()
				return
			}
			_ = w.CloseWithError(how)
		}()
		return &Answer{Status: http.StatusOK, Header: http.Header{"Server-Id": {a.Server.ID}}, Body: r}, nil
	}
}

// errHang makes a fake server send nothing and keep the connection open.
var errHang = io.ErrNoProgress

// recordingSink records what a caller gets.
type recordingSink struct {
	heads    int // response heads received
	header   http.Header
	ids      []uint64 // of the events
	longest, // pause between two events
	first time.Duration // from start to the first event
	start time.Time // of the request; set by the test
	last  time.Time // when the newest event came
}

func (s *recordingSink) Begin(_ int, header http.Header) error {
	s.heads++
	s.header = header
	return nil
}

func (s *recordingSink) Event(raw []byte) error {
	now := time.Now()
	if s.last.IsZero() {
		s.first = now.Sub(s.start)
	} else {
		s.longest = max(s.longest, now.Sub(s.last))
	}
	s.last = now
	ev, err := newEventReader(bytes.NewReader(raw)).next()
	if err != nil {
		return err
	}
	s.ids = append(s.ids, ev.id)
	return nil
}

// testbed is an Exchange with fake servers: by default a1, a2 in zone a, b1, b2 in zone
// b.
type testbed struct {
	*Exchange
	backend  *fakeBackend
	dir      *directory.Directory
	suspects *suspect.Ledger
	recorder *event.Recorder
}

func newTestbed(scripts map[string][]script, ids ...string) *testbed {
	b := &testbed{backend: &fakeBackend{scripts: scripts, probes: map[string]error{}, born: map[string]int64{}}, dir: directory.New(), recorder: event.Discard()}
	b.suspects = suspect.New(suspect.Options{Limit: suspect.LedgerLimit(3), Quarantine: time.Minute, Window: time.Minute})
	if len(ids) == 0 {
		ids = []string{"a1", "a2", "b1", "b2"}
	}
	var list []directory.Listing
	for _, id := range ids {
		list = append(list, directory.Listing{ID: id, Service: "s", Zone: id[:1], Address: id, Slots: 8})
	}
	b.dir.Apply(1, list, false, time.Now())
	b.Exchange = New(Options{
		Zone: "a", Directory: b.dir, Backend: b.backend, Suspects: b.suspects, Recorder: b.recorder,
		Services: func(string) (site.Service, bool) {
			return site.Service{Name: "s", Copies: true, CopiesOnDemand: true}, true
		},
		RetryWindow: 10 * time.Second, RetryRatio: 0.8, RetryExtra: func() float64 { return 20 },
	})
	return b
}

// measurePrompts lets each server in turn read a prompt of 8,000 tokens in the given time.
func (b *testbed) measurePrompts(took time.Duration) {
	for _, s := range b.dir.View().Service("s") {
		load := s.BeginStream(8000)
		time.Sleep(took)
		load.PromptPrefilled()
		load.End()
	}
}

func request(kind site.Kind) *Request {
	return &Request{
		ID: "r1", Method: http.MethodPost, Target: "/x/1", Header: http.Header{}, Service: "s", PromptTokens: 8000, MaxTokens: 600,
		Arrived: time.Now(), Deadline: time.Now().Add(4 * time.Second),
		Route: &site.Route{
			Name: "r", Kind: kind, Resumable: kind == site.Stream, MaxAttempts: 5,
			Objective: 300 * time.Millisecond, Timeout: 4 * time.Second, MaxGap: 700 * time.Millisecond,
		},
	}
}

func streamRequest() *Request {
	r := request(site.Stream)
	r.Deadline = r.Arrived.Add(25 * time.Second)
	return r
}

// everywhere returns the script for each of the servers a1, a2, b1 and b2.
func everywhere(s script) map[string][]script {
	return map[string][]script{"a1": {s}, "a2": {s}, "b1": {s}, "b2": {s}}
}
