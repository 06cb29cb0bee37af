package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	adminpb "github.com/pearyard/pearyard/rpc/admin"
)

// revisionStore holds the accepted revisions, which several routers share.
type revisionStore struct {
	mu        sync.Mutex
	revisions []*adminpb.Revision
}

// fakeRouter is the administration API of one router, with failures that a test can
// inject.
type fakeRouter struct {
	adminpb.Queries  // nil: unexpected calls panic
	adminpb.Commands // likewise
	store            *revisionStore
	applyCalls       int
	loseResponse     bool   // the change is accepted, but the connection is closed
	refuse           bool   // the store is unavailable: nothing is accepted
	failAfterCommit  bool   // the change is accepted, and the router fails afterwards
	failHistory      bool   // the history can't be read
	behind           string // process that is never reported to have a revision in force; empty: none
	before           func() // runs before an apply takes effect
}

func (r *fakeRouter) Apply(_ context.Context, req *adminpb.ApplyRequest) (*adminpb.ApplyResponse, error) {
	r.applyCalls++
	if r.refuse {
		return nil, twirp.Unavailable.Error("not accepted: the store is down")
	}
	if r.before != nil {
		r.before()
	}
	resp := r.store.accept(req)
	if r.failAfterCommit {
		return nil, twirp.Unavailable.Error("not accepted: no room")
	}
	if r.loseResponse {
		panic(http.ErrAbortHandler)
	}
	if req.GetWait() && resp.GetRevision() != 0 {
		resp.InForce = r.inForce()
	}
	return resp, nil
}

func (s *revisionStore) accept(req *adminpb.ApplyRequest) *adminpb.ApplyResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if int(req.GetBase()) != len(s.revisions) {
		// The winner is the newest, as in the store.
		return &adminpb.ApplyResponse{Race: &adminpb.Race{Winner: s.revisions[len(s.revisions)-1], Diff: "-a\n+b"}}
	}
	revision := uint64(len(s.revisions) + 1)
	s.revisions = append(s.revisions, &adminpb.Revision{Revision: revision, Who: req.GetWho(), Note: req.GetNote(), Text: req.GetText()})
	return &adminpb.ApplyResponse{Revision: revision}
}

func (r *fakeRouter) inForce() *adminpb.InForce {
	if r.behind == "" {
		return &adminpb.InForce{Processes: 3, InForce: 3}
	}
	return &adminpb.InForce{Processes: 3, InForce: 2, Behind: []*adminpb.Behind{{Process: r.behind, State: "suspect"}}}
}

func (r *fakeRouter) WaitInForce(context.Context, *adminpb.InForceRequest) (*adminpb.InForce, error) {
	return r.inForce(), nil
}

func (r *fakeRouter) History(context.Context, *adminpb.HistoryRequest) (*adminpb.HistoryResponse, error) {
	if r.failHistory {
		return nil, twirp.Unavailable.Error("the store is down")
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return &adminpb.HistoryResponse{Revisions: r.store.revisions}, nil
}

func (r *fakeRouter) Get(_ context.Context, req *adminpb.GetRequest) (*adminpb.GetResponse, error) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return &adminpb.GetResponse{Revision: r.store.revisions[req.GetRevision()-1]}, nil
}

func (r *fakeRouter) serve(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(adminpb.CommandsPathPrefix, adminpb.NewCommandsServer(r))
	mux.Handle(adminpb.QueriesPathPrefix, adminpb.NewQueriesServer(r))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

// result is the exit code and output of a command.
type result struct {
	code           int
	stdout, stderr string
}

func runCLI(t *testing.T, args ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), append([]string{"pearyard"}, args...), Options{Stdout: &stdout, Stderr: &stderr})
	return result{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

func configFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func apply(t *testing.T, routers string, more ...string) result {
	t.Helper()
	args := []string{"apply", configFile(t, `{"mine": 1}`), "--base", "0", "--who", "ann", "--admin", routers}
	return runCLI(t, append(args, more...)...)
}

// A configuration is accepted, and the router dies before it responds. The command
// must print "accepted as revision 1" and not report a race lost against itself, and
// nothing may be applied twice.
func TestApplyWhoseResponseIsLost(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &revisionStore{}
	first := &fakeRouter{store: s, loseResponse: true, behind: "sidecar-9"}
	second := &fakeRouter{store: s, behind: "sidecar-9"}
	got := apply(t, first.serve(t)+","+second.serve(t), "--wait")
	g.Expect(got.stdout).To(gomega.ContainSubstring("accepted as revision 1\n"))
	g.Expect(first.applyCalls + second.applyCalls).To(gomega.Equal(1))
	g.Expect(s.revisions).To(gomega.HaveLen(1))
	g.Expect(got.stdout).To(gomega.ContainSubstring("sidecar-9"))
	g.Expect(got.code).To(gomega.Equal(ExitNotInForce))
}

// The response is lost, but another operator's change was accepted on the same base
// first, so the command must report a lost race. It used to report now and then that
// the outcome was unknown: the router's error arrived in full ("Internal service
// panic"), its connection was closed a moment later, and the history had been
// requested on that connection. With a single router, no other one was called.
func TestApplyWhoseResponseIsLostAfterALostRace(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &revisionStore{}
	r := &fakeRouter{store: s, loseResponse: true}
	r.before = func() { s.accept(&adminpb.ApplyRequest{Text: []byte("his"), Who: "bob"}) }
	got := apply(t, r.serve(t))
	g.Expect(got.code).To(gomega.Equal(ExitRace))
	g.Expect(got.stderr).To(gomega.ContainSubstring("bob"))
	g.Expect(s.revisions).To(gomega.HaveLen(1))
}

// The response is lost and the history can't be read at first. The second call, on the
// same base, then loses against the first one. The command must recognize that the
// winner is its own change.
func TestApplyLosesRaceAgainstItsOwnEarlierCall(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &revisionStore{}
	first, second := &fakeRouter{store: s, loseResponse: true, failHistory: true}, &fakeRouter{store: s, failHistory: true}
	got := apply(t, first.serve(t)+","+second.serve(t))
	g.Expect(got).To(gomega.Equal(result{stdout: "accepted as revision 1\n"}))
	g.Expect(second.applyCalls).To(gomega.Equal(1))
	g.Expect(s.revisions).To(gomega.HaveLen(1))
}

// The response is lost, another operator applies a change based on this one at once,
// and only then can the history be read. The race names the other operator, but this
// change was accepted first. If the command reported a lost race, the operator would
// apply the change again, on top of the other one. As long as the history can't be
// read, it must report that the outcome is unknown.
func TestApplyFoundBeforeAnotherOperatorsChange(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &revisionStore{}
	first, second := &fakeRouter{store: s, loseResponse: true, failHistory: true}, &fakeRouter{store: s, failHistory: true}
	second.before = func() {
		s.accept(&adminpb.ApplyRequest{Base: 1, Text: []byte("his"), Who: "bob"})
		second.failHistory = false
	}
	got := apply(t, first.serve(t)+","+second.serve(t))
	g.Expect(got).To(gomega.Equal(result{stdout: "accepted as revision 1\n"}))
	g.Expect(s.revisions).To(gomega.HaveLen(2))
	second.failHistory = true
	first.failHistory = true
	s.revisions = nil
	second.before = func() { s.accept(&adminpb.ApplyRequest{Base: 1, Text: []byte("his"), Who: "bob"}) }
	g.Expect(apply(t, first.serve(t)+","+second.serve(t)).code).To(gomega.Equal(ExitUnknown))
}

// A router commits the change, fails afterwards and responds that nothing was
// accepted. The next router then reports a race, which was lost against the command's
// own change.
func TestApplyAfterARouterThatFailsLate(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &revisionStore{}
	first, second := &fakeRouter{store: s, failAfterCommit: true}, &fakeRouter{store: s}
	got := apply(t, first.serve(t)+","+second.serve(t))
	g.Expect(got).To(gomega.Equal(result{stdout: "accepted as revision 1\n"}))
	g.Expect(s.revisions).To(gomega.HaveLen(1))
}

// The response is lost and no router can read the history. The command must report
// that the outcome is unknown.
func TestApplyWhoseOutcomeStaysUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &fakeRouter{store: &revisionStore{}, loseResponse: true, failHistory: true}
	got := apply(t, r.serve(t))
	g.Expect(got.code).To(gomega.Equal(ExitUnknown))
	g.Expect(got.stderr).To(gomega.ContainSubstring("pearyard history"))
}

// Two operators apply concurrently. The loser's command exits with 4 and shows the
// winner and its diff, so that a script can fetch, merge and apply again.
func TestLostRaceHasItsOwnExitCode(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &revisionStore{}
	s.accept(&adminpb.ApplyRequest{Text: []byte("his"), Who: "bob", Note: "more runners"})
	r := &fakeRouter{store: s}
	got := apply(t, r.serve(t))
	g.Expect(got.code).To(gomega.Equal(ExitRace))
	g.Expect(got.stdout).To(gomega.ContainSubstring("+b"))
	g.Expect(got.stderr).To(gomega.ContainSubstring(`revision 1 by bob ("more runners")`))
	g.Expect(r.applyCalls).To(gomega.Equal(1))
}

func TestApplyGoesOnToTheNextRouter(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &revisionStore{}
	down, up := &fakeRouter{store: s, refuse: true}, &fakeRouter{store: s}
	got := apply(t, "127.0.0.1:1,"+down.serve(t)+","+up.serve(t), "--wait")
	g.Expect(got).To(gomega.Equal(result{stdout: "accepted as revision 1\nin force in 3 of 3 processes\n"}))
	got = apply(t, down.serve(t))
	g.Expect(got.code).To(gomega.Equal(ExitUnreachable))
}

// The transfer of a bundle breaks midway. A partial file must not remain under the
// name of the bundle, where it could be taken for a complete one and sent on.
func TestBrokenBundleLeavesNoFile(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("part", 1000)))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	directory := t.TempDir()
	got := runCLI(t, "bundle", "-o", filepath.Join(directory, "b.tar.gz"), "--admin", server.URL)
	g.Expect(got.code).To(gomega.Equal(ExitUnreachable))
	left, err := os.ReadDir(directory)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(left).To(gomega.BeEmpty())
}

func TestWrongTokenHasItsOwnExitCode(t *testing.T) {
	g := gomega.NewWithT(t)
	calls := 0
	refuse := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		g.Expect(r.Header.Get("Authorization")).To(gomega.Equal("Bearer wrong"))
		_ = twirp.WriteError(w, twirp.Unauthenticated.Error("wrong token"))
	})
	server := httptest.NewServer(refuse)
	t.Cleanup(server.Close)
	t.Setenv(EnvAdmin, server.URL+","+server.URL)
	t.Setenv(EnvToken, "wrong")
	g.Expect(runCLI(t, "status").code).To(gomega.Equal(ExitUnauthorized))
	g.Expect(calls).To(gomega.Equal(1), "the next router would refuse it too")
}

// A router closes a kept-alive connection, for example after a failed response, while
// the next query is being sent on it. With a single router, the query must be sent
// again on a new connection.
func TestQueryIsSentAgainWhenItsConnectionBreaks(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &revisionStore{}
	s.accept(&adminpb.ApplyRequest{Text: []byte("his"), Who: "bob"})
	queries := adminpb.NewQueriesServer(&fakeRouter{store: s})
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls > 1 {
			queries.ServeHTTP(w, r)
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	got := runCLI(t, "history", "--admin", server.URL)
	g.Expect(got.code).To(gomega.Equal(ExitOK))
	g.Expect(got.stdout).To(gomega.ContainSubstring("bob"))
	g.Expect(calls).To(gomega.Equal(2))
}
