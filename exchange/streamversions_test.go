package exchange

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
)

// versionSink records the versions of the software that wrote a caller's events.
type versionSink struct {
	versions map[string]bool
	events   int
}

func newVersionSink() *versionSink { return &versionSink{versions: map[string]bool{}} }

// Begin implements Sink.
func (*versionSink) Begin(int, http.Header) error { return nil }

// Event implements Sink.
func (s *versionSink) Event(raw []byte) error {
	_, data, _ := bytes.Cut(raw, []byte("data: "))
	s.versions[string(bytes.TrimSpace(data))] = true
	s.events++
	return nil
}

// Guards against a stream that goes on at a server of another version than the one that
// began it, after its server's loss: with no copy of its KV cache, or when the copy can't
// be used.
func TestStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	const servers, streams = 40, 120
	for name, c := range map[string]struct {
		older    int // servers of the older version
		copies   bool
		lose     func(*modelEngine)
		complete int // least number of streams that end whole
	}{
		"half, breaks":                       {20, true, (*modelEngine).crash, streams},
		"half, falls silent":                 {20, true, (*modelEngine).fallSilent, streams},
		"half, breaks, without copies":       {20, false, (*modelEngine).crash, streams},
		"half, falls silent, without copies": {20, false, (*modelEngine).fallSilent, streams},
		"a few, breaks":                      {6, true, (*modelEngine).crash, streams},
		"a few, breaks, without copies":      {6, false, (*modelEngine).crash, streams},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				ids := modelServers(servers)
				b := newModelBackend(ctx, ids, evenSpeed)
				for i, id := range ids {
					b.engines[id].version = "v2"
					if i%servers*c.older/servers != (i+1)*c.older/servers {
						b.engines[id].version = "v1"
					}
				}
				vm := newModelVM(b, ids)
				vm.opts.Services = func(string) (site.Service, bool) {
					return site.Service{Name: "s", Copies: c.copies, CopiesOnDemand: c.copies}, true
				}
				// A third of the servers is lost within two seconds, so that three losses may hit
				// one stream, which would be quarantined.
				vm.opts.Suspects = suspect.New(suspect.Options{Limit: suspect.LedgerLimit(servers), Quarantine: time.Minute, Window: time.Minute})
				go func() {
					time.Sleep(2 * time.Second)
					for i := 0; i < servers; i += 3 {
						c.lose(b.engines[ids[i]])
						time.Sleep(150 * time.Millisecond)
					}
				}()
				mixed, whole, errs := runVersionStreams(ctx, b, vm, streams)
				stop()
				time.Sleep(time.Second) // what is in progress ends
				gomega.NewWithT(t).Expect(mixed).To(gomega.BeZero(), "streams with events of two versions")
				gomega.NewWithT(t).Expect(whole).To(gomega.BeNumerically(">=", c.complete), "streams that end whole: %v", errs)
			})
		})
	}
}

// runVersionStreams runs streams of 300 events, one begun each 40 ms. It returns how many
// callers got events of two versions, and how many got all events, and the
// errors of the others.
func runVersionStreams(ctx context.Context, b *modelBackend, vm *modelVM, streams int) (mixed, whole int, errs []error) {
	const events = 300
	b.length = func(string) int { return events }
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := range streams {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			sink := newVersionSink()
			req := modelRequest(fmt.Sprint("stream", i))
			req.Route.MaxAttempts = len(b.engines) // one stream may lose several servers in a row
			_, err := vm.Stream(ctx, req, sink)
			mu.Lock()
			defer mu.Unlock()
			if len(sink.versions) > 1 {
				mixed++
			}
			if err != nil {
				errs = append(errs, err)
			} else if sink.events == events {
				whole++
			}
		})
	}
	group.Wait()
	return mixed, whole, errs
}
