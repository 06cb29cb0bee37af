package admin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/admin"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/inspect"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/types"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

const token = "operators-token-1"

var kindStep = event.Define(4099, "admin_test_step", event.Info, "A step in a test.", "nothing")

// memoryStore is an in-memory ConfigStore. accept and history can inject failures.
type memoryStore struct {
	mu      sync.Mutex
	all     []admin.ConfigRevision
	accept  func(admin.Change) (types.Revision, findings.List, error)
	history error
}

func (s *memoryStore) Accept(_ context.Context, c admin.Change) (types.Revision, findings.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accept != nil {
		return s.accept(c)
	}
	if int(c.Base) != len(s.all) {
		return 0, nil, &admin.RaceError{Winner: s.all[c.Base]}
	}
	revision := types.Revision(len(s.all) + 1)
	s.all = append(s.all, admin.ConfigRevision{Revision: revision, Base: c.Base, Raw: c.Raw, Who: c.Who, Note: c.Note, At: time.Now()})
	return revision, nil, nil
}

func (s *memoryStore) Load(_ context.Context, revision types.Revision) (admin.ConfigRevision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision == 0 || int(revision) > len(s.all) {
		return admin.ConfigRevision{}, admin.ErrNoRevision
	}
	return s.all[revision-1], nil
}

func (s *memoryStore) History(context.Context, int) ([]admin.ConfigRevision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []admin.ConfigRevision
	for i := len(s.all) - 1; i >= 0; i-- {
		out = append(out, s.all[i])
	}
	return out, s.history
}

// process is one process of a site, with its peer listener.
type process struct {
	member     admin.Member
	registry   *inspect.Registry
	recorder   *event.Recorder
	clockError time.Duration // its clock minus the true time
}

func newProcess(name string, role types.Role, revision func() types.Revision, clock time.Duration) *process {
	p := &process{recorder: event.Discard(), clockError: clock}
	now := func() time.Time { return time.Now().Add(p.clockError) }
	metrics := prometheus.NewRegistry()
	registry, err := inspect.New(inspect.Options{
		Identity: inspect.Identity{Process: types.ProcessID(name), Role: role},
		Revision: revision, Recorder: p.recorder, Gatherer: metrics, Registerer: metrics, Now: now,
	})
	Expect(err).NotTo(HaveOccurred())
	p.registry = registry
	server := httptest.NewServer(p.handler())
	DeferCleanup(server.Close)
	p.member = admin.Member{
		Process: types.ProcessID(name), Role: role, State: admin.StateAlive,
		Address: strings.TrimPrefix(server.URL, "http://"),
	}
	return p
}

// eventDelay is how long after the other processes a process with a wrong clock emits its
// events.
const eventDelay = 50 * time.Millisecond

// handler serves the process. With a wrong clock, the times of its events are shifted.
func (p *process) handler() http.Handler {
	if p.clockError == 0 {
		return p.registry.Handler()
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != inspect.PathEvents {
			p.registry.Handler().ServeHTTP(w, r)
			return
		}
		events := p.registry.Events(r.URL.Query().Get(inspect.ParamRequest), inspect.MaxEvents)
		for i := range events.Entries {
			events.Entries[i].At = events.Entries[i].At.Add(p.clockError + eventDelay)
		}
		_ = json.NewEncoder(w).Encode(events)
	})
}

// newFrozen returns a process that accepts connections and never responds.
func newFrozen(name string) *process {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	DeferCleanup(func() { close(release); server.Close() })
	return &process{member: admin.Member{
		Process: types.ProcessID(name), Role: types.RoleSidecar, State: admin.StateSuspect,
		Address: strings.TrimPrefix(server.URL, "http://"),
	}}
}

// site is a router's administration API and the processes of its site.
type site struct {
	store     *memoryStore
	processes []*process
	backends  []admin.Backend
	stops     []types.ProcessID
	url       string
	server    *admin.Server
}

const testTimeout = 300 * time.Millisecond

func newSite(processes ...*process) *site {
	s := &site{store: &memoryStore{}, processes: processes}
	server, err := admin.New(admin.Options{
		Token: token, Process: "router-1", Store: s.store, InForce: s.inForce, Members: s.members, Stopper: s,
		Backends: func() []admin.Backend { return s.backends },
		Recorder: event.Discard(), Secrets: []string{"platform-password"}, Timeout: testTimeout,
	})
	Expect(err).NotTo(HaveOccurred())
	s.server = server
	listener := httptest.NewServer(server.Handler())
	DeferCleanup(listener.Close)
	s.url = listener.URL
	return s
}

func (s *site) inForce() admin.ConfigRevision {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if len(s.store.all) == 0 {
		return admin.ConfigRevision{}
	}
	return s.store.all[len(s.store.all)-1]
}

func (s *site) members() []admin.Member {
	var out []admin.Member
	for _, p := range s.processes {
		out = append(out, p.member)
	}
	return out
}

// Stop implements admin.Stopper.
func (s *site) Stop(_ context.Context, m admin.Member, _ string) (int, error) {
	s.stops = append(s.stops, m.Process)
	return 2, nil
}

// bearer is a transport that sends the token.
type bearer string

func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+string(b))
	return http.DefaultTransport.RoundTrip(r)
}

func (s *site) http(token string) *http.Client { return &http.Client{Transport: bearer(token)} }

func (s *site) commands() adminpb.Commands {
	return adminpb.NewCommandsProtobufClient(s.url, s.http(token))
}

func (s *site) queries() adminpb.Queries {
	return adminpb.NewQueriesProtobufClient(s.url, s.http(token))
}

func mustJSON(v any) string {
	raw, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}
