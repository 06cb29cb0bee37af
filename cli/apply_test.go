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

// store is what several routers share: the accepted texts.
type store struct {
	mu  sync.Mutex
	all []*adminpb.Revision
}

// router is the administration API of one router, with faults.
type router struct {
	adminpb.Queries  // calls that a test doesn't expect panic
	adminpb.Commands // likewise
	store            *store
	applies          int
	loseAnswer       bool // the text is accepted, the connection cut
	refuse           bool // the store is down: nothing is accepted
	failLate         bool // the text is accepted, and the router fails after that
	mute             bool // history can't be read
	behind           string
	before           func() // runs before an apply takes effect
}

func (r *router) Apply(_ context.Context, req *adminpb.ApplyRequest) (*adminpb.ApplyResponse, error) {
	r.applies++
	if r.refuse {
		return nil, twirp.Unavailable.Error("not accepted: the store is down")
	}
	if r.before != nil {
		r.before()
	}
	resp := r.store.accept(req)
	if r.failLate {
		return nil, twirp.Unavailable.Error("not accepted: no room")
	}
	if r.loseAnswer {
		panic(http.ErrAbortHandler)
	}
	if req.GetWait() && resp.GetRevision() != 0 {
		resp.InForce = r.inForce()
	}
	return resp, nil
}

func (s *store) accept(req *adminpb.ApplyRequest) *adminpb.ApplyResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if int(req.GetBase()) != len(s.all) {
		// The winner is the newest, as in the store.
		return &adminpb.ApplyResponse{Race: &adminpb.Race{Winner: s.all[len(s.all)-1], Diff: "-a\n+b"}}
	}
	revision := uint64(len(s.all) + 1)
	s.all = append(s.all, &adminpb.Revision{Revision: revision, Who: req.GetWho(), Note: req.GetNote(), Text: req.GetText()})
	return &adminpb.ApplyResponse{Revision: revision}
}

func (r *router) inForce() *adminpb.InForce {
	if r.behind == "" {
		return &adminpb.InForce{Processes: 3, InForce: 3}
	}
	return &adminpb.InForce{Processes: 3, InForce: 2, Behind: []*adminpb.Behind{{Process: r.behind, State: "suspect"}}}
}

func (r *router) WaitInForce(context.Context, *adminpb.InForceRequest) (*adminpb.InForce, error) {
	return r.inForce(), nil
}

func (r *router) History(context.Context, *adminpb.HistoryRequest) (*adminpb.HistoryResponse, error) {
	if r.mute {
		return nil, twirp.Unavailable.Error("the store is down")
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return &adminpb.HistoryResponse{Revisions: r.store.all}, nil
}

func (r *router) Get(_ context.Context, req *adminpb.GetRequest) (*adminpb.GetResponse, error) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return &adminpb.GetResponse{Revision: r.store.all[req.GetRevision()-1]}, nil
}

func (r *router) serve(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(adminpb.CommandsPathPrefix, adminpb.NewCommandsServer(r))
	mux.Handle(adminpb.QueriesPathPrefix, adminpb.NewQueriesServer(r))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

// result is what an operator sees of a command.
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

func textFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "text.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func apply(t *testing.T, routers string, more ...string) result {
	t.Helper()
	args := []string{"apply", textFile(t, `{"mine": 1}`), "--base", "0", "--who", "ann", "--admin", routers}
	return runCLI(t, append(args, more...)...)
}

// An operator applies a text. It is accepted, and the router dies before the
// answer leaves. She must read "accepted as revision 1", once, and not "lost a
// race" against herself; nothing is applied twice.
func TestApplyWhoseAnswerIsLost(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{}
	first := &router{store: s, loseAnswer: true, behind: "sidecar-9"}
	second := &router{store: s, behind: "sidecar-9"}
	got := apply(t, first.serve(t)+","+second.serve(t), "--wait")
	g.Expect(got.stdout).To(gomega.ContainSubstring("accepted as revision 1\n"))
	g.Expect(first.applies + second.applies).To(gomega.Equal(1))
	g.Expect(s.all).To(gomega.HaveLen(1))
	g.Expect(got.stdout).To(gomega.ContainSubstring("sidecar-9"))
	g.Expect(got.code).To(gomega.Equal(ExitNotInForce))
}

// The answer is lost and another operator's text was accepted on the base before
// hers came through: she lost, whatever the connection did. Seldom she read that
// her text may have been accepted: the router's failure came whole ("Internal
// service panic"), its connection was closed a moment later, and the history had
// been asked for on that connection; with one router nobody else was asked.
func TestApplyWhoseAnswerIsLostAfterALostRace(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{}
	r := &router{store: s, loseAnswer: true}
	r.before = func() { s.accept(&adminpb.ApplyRequest{Text: []byte("his"), Who: "bob"}) }
	got := apply(t, r.serve(t))
	g.Expect(got.code).To(gomega.Equal(ExitRace))
	g.Expect(got.stderr).To(gomega.ContainSubstring("bob"))
	g.Expect(s.all).To(gomega.HaveLen(1))
}

// The answer is lost and the history can't be read at first; the second try, on
// the same base, then loses to the first try. That is no race: it is her text.
func TestApplyThatMeetsItsOwnEarlierTry(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{}
	first, second := &router{store: s, loseAnswer: true, mute: true}, &router{store: s, mute: true}
	got := apply(t, first.serve(t)+","+second.serve(t))
	g.Expect(got).To(gomega.Equal(result{stdout: "accepted as revision 1\n"}))
	g.Expect(second.applies).To(gomega.Equal(1))
	g.Expect(s.all).To(gomega.HaveLen(1))
}

// The answer is lost, another operator builds on her text at once, and only then
// can the history be read. The race names him, but her text was accepted first:
// told "race lost" she would apply it again, on top of his.
func TestApplyFoundUnderAnotherOperatorsText(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{}
	first, second := &router{store: s, loseAnswer: true, mute: true}, &router{store: s, mute: true}
	second.before = func() {
		s.accept(&adminpb.ApplyRequest{Base: 1, Text: []byte("his"), Who: "bob"})
		second.mute = false
	}
	got := apply(t, first.serve(t)+","+second.serve(t))
	g.Expect(got).To(gomega.Equal(result{stdout: "accepted as revision 1\n"}))
	g.Expect(s.all).To(gomega.HaveLen(2))
	second.mute = true
	first.mute = true
	s.all = nil
	second.before = func() { s.accept(&adminpb.ApplyRequest{Base: 1, Text: []byte("his"), Who: "bob"}) }
	g.Expect(apply(t, first.serve(t)+","+second.serve(t)).code).To(gomega.Equal(ExitUnknown))
}

// A router commits the text, fails on what it does next and answers that nothing
// was accepted. The next router then knows of a race, which is against herself.
func TestApplyAfterARouterThatFailsLate(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{}
	first, second := &router{store: s, failLate: true}, &router{store: s}
	got := apply(t, first.serve(t)+","+second.serve(t))
	g.Expect(got).To(gomega.Equal(result{stdout: "accepted as revision 1\n"}))
	g.Expect(s.all).To(gomega.HaveLen(1))
}

// The answer is lost and no router can read the history: the command doesn't
// guess, it says that the outcome is open.
func TestApplyWhoseOutcomeStaysOpen(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &router{store: &store{}, loseAnswer: true, mute: true}
	got := apply(t, r.serve(t))
	g.Expect(got.code).To(gomega.Equal(ExitUnknown))
	g.Expect(got.stderr).To(gomega.ContainSubstring("pearyard history"))
}

// Two operators race. The loser's command ends with 4 and shows the winner and
// his diff, so that a script can fetch, merge and apply again.
func TestRaceEndsWithItsOwnCode(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{}
	s.accept(&adminpb.ApplyRequest{Text: []byte("his"), Who: "bob", Note: "more runners"})
	r := &router{store: s}
	got := apply(t, r.serve(t))
	g.Expect(got.code).To(gomega.Equal(ExitRace))
	g.Expect(got.stdout).To(gomega.ContainSubstring("+b"))
	g.Expect(got.stderr).To(gomega.ContainSubstring(`revision 1 by bob ("more runners")`))
	g.Expect(r.applies).To(gomega.Equal(1))
}

func TestApplyGoesOnToTheNextRouter(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{}
	down, up := &router{store: s, refuse: true}, &router{store: s}
	got := apply(t, "127.0.0.1:1,"+down.serve(t)+","+up.serve(t), "--wait")
	g.Expect(got).To(gomega.Equal(result{stdout: "accepted as revision 1\nin force in 3 of 3 processes\n"}))
	got = apply(t, down.serve(t))
	g.Expect(got.code).To(gomega.Equal(ExitUnreachable))
}

// The transfer of a bundle breaks half way. A part that looks like a bundle must
// not stand under its name: it would be mailed.
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

func TestWrongTokenEndsWithItsOwnCode(t *testing.T) {
	g := gomega.NewWithT(t)
	asked := 0
	refuse := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked++
		g.Expect(r.Header.Get("Authorization")).To(gomega.Equal("Bearer wrong"))
		_ = twirp.WriteError(w, twirp.Unauthenticated.Error("wrong token"))
	})
	server := httptest.NewServer(refuse)
	t.Cleanup(server.Close)
	t.Setenv(EnvAdmin, server.URL+","+server.URL)
	t.Setenv(EnvToken, "wrong")
	g.Expect(runCLI(t, "status").code).To(gomega.Equal(ExitUnauthorized))
	g.Expect(asked).To(gomega.Equal(1), "the next router would refuse it too")
}

// A router closes a connection while the next question is on its way there: it is the
// end of an answer that failed before. With that one router alone, the question
// has to be asked again on a new connection.
func TestQuestionIsAskedAgainWhenItsConnectionBreaks(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{}
	s.accept(&adminpb.ApplyRequest{Text: []byte("his"), Who: "bob"})
	queries := adminpb.NewQueriesServer(&router{store: s})
	asked := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asked++; asked > 1 {
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
	g.Expect(asked).To(gomega.Equal(2))
}
