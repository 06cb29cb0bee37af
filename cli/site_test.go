package cli

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/admin"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/types"
)

var kindTest = event.Define(4098, "cli_test_step", event.Info, "A step in a test.", "nothing")

// smallSite is the administration API of a router and a site with one sidecar.
type smallSite struct {
	member    admin.Member
	revisions []admin.ConfigRevision
	drain     inspect.Drain
	stopped   []string
}

// Accept implements admin.ConfigStore; the tests of apply have a store of their own.
func (s *smallSite) Accept(context.Context, admin.Change) (types.Revision, findings.List, error) {
	return 0, nil, admin.ErrAmbiguous
}

func (s *smallSite) Load(_ context.Context, revision types.Revision) (admin.ConfigRevision, error) {
	if revision == 0 || int(revision) > len(s.revisions) {
		return admin.ConfigRevision{}, admin.ErrNoRevision
	}
	return s.revisions[revision-1], nil
}

func (s *smallSite) History(context.Context, int) ([]admin.ConfigRevision, error) {
	return []admin.ConfigRevision{s.revisions[1], s.revisions[0]}, nil
}

// Stop implements admin.Stopper.
func (s *smallSite) Stop(_ context.Context, m admin.Member, who string) (int, error) {
	s.stopped = append(s.stopped, string(m.Process)+" by "+who)
	s.member.State = admin.StateLeaving
	s.drain = inspect.Drain{Active: true, Streams: 0, Longest: 0}
	return 0, nil
}

func (s *smallSite) start(t *testing.T) {
	t.Helper()
	recorder := event.Discard()
	recorder.Emit(kindTest, event.FieldRequest, "req-1", "step", "ran here")
	registry, err := inspect.New(inspect.Options{Identity: inspect.Identity{Process: "sidecar-1"}, Recorder: recorder})
	if err != nil {
		t.Fatal(err)
	}
	registry.Add(inspect.SectionDrain, func() any { return s.drain })
	peer := httptest.NewServer(registry.Handler())
	t.Cleanup(peer.Close)
	s.member = admin.Member{
		Process: "sidecar-1", Role: types.RoleSidecar, Zone: "hall", BackendServer: "pear-1", State: admin.StateAlive,
		Revision: 2, InFlight: 3, Load: &types.Load{Running: 3, Capacity: 8, At: time.Now()},
		Address: strings.TrimPrefix(peer.URL, "http://"),
	}
	server, err := admin.New(admin.Options{
		Token: "t0ken-t0ken", Process: "router-1", Store: s, Stopper: s,
		InForce: func() admin.ConfigRevision { return s.revisions[1] },
		Members: func() []admin.Member { return []admin.Member{s.member} },
		Quarantines: func() []admin.Quarantine {
			return []admin.Quarantine{{Fingerprint: 255, Organisation: "suva", Deaths: 2}}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	t.Setenv(EnvAdmin, listener.URL)
	t.Setenv(EnvToken, "t0ken-t0ken")
}

func TestCommandsAgainstASite(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &smallSite{revisions: []admin.ConfigRevision{
		{Revision: 1, Raw: []byte("a\n"), Who: "ann", Note: "first"},
		{Revision: 2, Raw: []byte("b\n"), Who: "bob", Note: "second"},
	}}
	s.start(t)
	directory := t.TempDir()
	bundle := filepath.Join(directory, "b.tar.gz")
	for _, example := range []struct {
		command string
		code    int
		want    []string
	}{
		{"get", 0, []string{"b\n", "revision 2 by bob"}},
		{"get --revision 1 --output json", 0, []string{`"text": "a\n"`, `"who": "ann"`}},
		{"get --revision 9", ExitNotFound, nil},
		{"history", 0, []string{"second", "first"}},
		{"diff 1 2", 0, []string{"-a", "+b"}},
		{"status", 0, []string{"sidecar-1", "pear-1", "alive", "3/8 running", "00000000000000ff of suva"}},
		{"status --output json", 0, []string{`"in_flight": 3`}},
		{"dump sidecar-1", 0, []string{`"process":"sidecar-1"`}},
		{"dump nobody", ExitNotFound, nil},
		{"explain req-1", 0, []string{"PY4098", `step="ran here"`, "clock"}},
		{"explain req-2", ExitNotFound, nil},
		{"bundle -o " + bundle, 0, []string{"MANIFEST.json"}},
		{"stop nobody", ExitNotFound, nil},
		{"stop pear-1 --wait --who ann", 0, []string{"sidecar-1: done, 0 streams"}},
	} {
		got := runCLI(t, strings.Fields(example.command)...)
		g.Expect(got.code).To(gomega.Equal(example.code), "%s: %s", example.command, got.stderr)
		for _, want := range example.want {
			g.Expect(got.stdout+got.stderr).To(gomega.ContainSubstring(want), example.command)
		}
	}
	g.Expect(s.stopped).To(gomega.Equal([]string{"sidecar-1 by ann"}))
	g.Expect(os.Stat(bundle)).To(gomega.HaveField("Size()", gomega.BeNumerically(">", 500)))
	t.Setenv(EnvToken, "wrong")
	g.Expect(runCLI(t, "bundle", "-o", bundle).code).To(gomega.Equal(ExitUnauthorized))
}
