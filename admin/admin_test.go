package admin_test

import (
	"archive/tar"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	"github.com/pearyard/pearyard/admin"
	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/inspect"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/types"
)

// fixedRevision returns a function for newProcess that always returns the revision.
func fixedRevision(revision types.Revision) func() types.Revision {
	return func() types.Revision { return revision }
}

func codeOf(err error) twirp.ErrorCode {
	var answer twirp.Error
	Expect(errors.As(err, &answer)).To(BeTrue(), "%v", err)
	return answer.Code()
}

var _ = Describe("the token", func() {
	It("refuses every path without it, with a wrong one and with a prefix of it", func() {
		s := newSite()
		for _, wrong := range []string{"", "operators-token", token + "x"} {
			_, err := adminpb.NewQueriesProtobufClient(s.url, s.http(wrong)).History(context.Background(), &adminpb.HistoryRequest{})
			Expect(codeOf(err)).To(Equal(twirp.Unauthenticated))
			resp, err := s.http(wrong).Get(s.url + admin.PathBundle)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
			Expect(resp.Body.Close()).To(Succeed())
		}
	})

	It("is required: an API open to all is not served", func() {
		_, err := admin.New(admin.Options{})
		Expect(err).To(MatchError(admin.ErrNoToken))
	})
})

var _ = Describe("Apply", func() {
	ctx := context.Background()

	// Two operators edit revision 1 concurrently. The one who applies second is told
	// that the other one won and what that changed, so that she can merge. Her own
	// configuration is not stored.
	It("gives the loser of a race the winner and his diff", func() {
		s := newSite()
		for i, text := range []string{"a\n", "b\n"} {
			_, err := s.commands().Apply(ctx, &adminpb.ApplyRequest{Base: uint64(i), Text: []byte(text), Who: "ann", Note: "n"})
			Expect(err).NotTo(HaveOccurred())
		}
		resp, err := s.commands().Apply(ctx, &adminpb.ApplyRequest{Base: 1, Text: []byte("c\n"), Who: "bob"})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.GetRevision()).To(BeZero())
		Expect(resp.GetRace().GetWinner().GetWho()).To(Equal("ann"))
		Expect(resp.GetRace().GetWinner().GetRevision()).To(BeEquivalentTo(2))
		Expect(resp.GetRace().GetDiff()).To(ContainSubstring("-a\n+b"))
		Expect(s.store.all).To(HaveLen(2))
	})

	It("returns findings with their place, and tells an open outcome from a refusal", func() {
		s := newSite()
		list := findings.List{{Severity: findings.Error, Line: 3, Column: 7, Pointer: "/services/0", Message: "no"}}
		s.store.accept = func(admin.Change) (types.Revision, findings.List, error) { return 0, nil, list.Err() }
		resp, err := s.commands().Apply(ctx, &adminpb.ApplyRequest{Text: []byte("{}")})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.GetFindings()).To(HaveLen(1))
		Expect(resp.GetFindings()[0].GetLine()).To(BeEquivalentTo(3))

		s.store.accept = func(admin.Change) (types.Revision, findings.List, error) { return 0, nil, admin.ErrAmbiguous }
		_, err = s.commands().Apply(ctx, &adminpb.ApplyRequest{Text: []byte("{}")})
		Expect(codeOf(err)).To(Equal(twirp.Unknown))
	})

	// An operator waits until a limit is in force everywhere. One process applies it
	// late, another is frozen and never does. The response counts the late process,
	// lists the frozen one, and arrives within the requested time.
	It("waits for a late process and names a frozen one", func() {
		began := time.Now()
		late := newProcess("late", types.RoleSidecar, func() types.Revision {
			if time.Since(began) > 150*time.Millisecond {
				return 1
			}
			return 0
		}, 0)
		s := newSite(newProcess("router-1", types.RoleRouter, fixedRevision(1), 0), late, newFrozen("frozen"))
		resp, err := s.commands().Apply(ctx, &adminpb.ApplyRequest{Text: []byte("{}"), Wait: true, WaitMs: 1000})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
		Expect(resp.GetInForce().GetProcesses()).To(BeEquivalentTo(3))
		Expect(resp.GetInForce().GetInForce()).To(BeEquivalentTo(2))
		Expect(resp.GetInForce().GetBehind()).To(HaveLen(1))
		Expect(resp.GetInForce().GetBehind()[0].GetProcess()).To(Equal("frozen"))
		Expect(resp.GetInForce().GetBehind()[0].GetError()).NotTo(BeEmpty())
	})

	// A router that has just started knows only itself. An operator applies a
	// configuration through it and must not be told that it is in force everywhere:
	// of the two backend servers in the configuration, one has the revision and the
	// other can't be reached.
	It("counts the backend servers of the configuration that are no members", func() {
		reached := newProcess("sidecar-1", types.RoleSidecar, fixedRevision(1), 0)
		s := newSite(newProcess("router-1", types.RoleRouter, fixedRevision(1), 0))
		s.backends = []admin.Backend{{Name: "pear-1", Address: reached.member.Address}, {Name: "pear-2", Address: "127.0.0.1:1"}}
		resp, err := s.commands().Apply(ctx, &adminpb.ApplyRequest{Text: []byte("{}"), Wait: true, WaitMs: 300})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.GetInForce().GetProcesses()).To(BeEquivalentTo(3))
		Expect(resp.GetInForce().GetBehind()).To(HaveLen(1))
		Expect(resp.GetInForce().GetBehind()[0].GetProcess()).To(Equal("pear-2"))
		Expect(resp.GetInForce().GetBehind()[0].GetState()).To(Equal("absent"))
		status, err := s.queries().Status(ctx, &adminpb.StatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(status.GetMembers()).To(HaveLen(3))
		_, err = s.commands().Stop(ctx, &adminpb.StopRequest{Kind: adminpb.Kind_KIND_BACKEND, Name: "pear-2"})
		Expect(codeOf(err)).To(Equal(twirp.NotFound))
	})

	// The address of a dead VM was reassigned to a new one that has the revision. The
	// response of the new process must not count for the dead one, and the operator
	// must not wait for the dead one.
	It("names a dead process at once and does not count the process that took over its address", func() {
		other := newProcess("new-vm", types.RoleSidecar, fixedRevision(1), 0)
		dead := &process{member: other.member}
		dead.member.Process, dead.member.State = "old-vm", admin.StateDead
		s := newSite(other, dead)
		began := time.Now()
		resp, err := s.commands().Apply(ctx, &adminpb.ApplyRequest{Text: []byte("{}"), Wait: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", admin.DefaultWait/2))
		Expect(resp.GetInForce().GetBehind()).To(HaveLen(1))
		Expect(resp.GetInForce().GetBehind()[0].GetError()).To(ContainSubstring(`answers as "new-vm"`))
	})
})

var _ = Describe("Get", func() {
	It("answers from what is in force here while the store is down, and says so", func() {
		s := newSite()
		_, err := s.commands().Apply(context.Background(), &adminpb.ApplyRequest{Text: []byte("{}")})
		Expect(err).NotTo(HaveOccurred())
		s.store.history = context.DeadlineExceeded
		resp, err := s.queries().Get(context.Background(), &adminpb.GetRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.GetStoreUnavailable()).To(BeTrue())
		Expect(resp.GetRevision().GetRevision()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("Stop", func() {
	It("hands the stop to the backend server's sidecar and returns its progress", func() {
		p := newProcess("sidecar-7", types.RoleSidecar, fixedRevision(1), 0)
		p.member.BackendServer = "pear-7"
		p.registry.Add(inspect.SectionDrain, func() any {
			return inspect.Drain{Active: true, Streams: 2, Longest: 90 * time.Second}
		})
		s := newSite(p)
		resp, err := s.commands().Stop(context.Background(), &adminpb.StopRequest{Kind: adminpb.Kind_KIND_BACKEND, Name: "pear-7"})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.stops).To(Equal([]types.ProcessID{"sidecar-7"}))
		Expect(resp.GetDrain().GetState()).To(Equal("draining"))
		Expect(resp.GetDrain().GetLongestMs()).To(BeEquivalentTo(90_000))

		p.member.State = admin.StateLeaving
		status, err := s.queries().Status(context.Background(), &adminpb.StatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(status.GetDrains()).To(HaveLen(1))
	})

	It("stops nothing for a name of the other kind or an unknown one", func() {
		s := newSite(newProcess("router-1", types.RoleRouter, fixedRevision(1), 0))
		for _, name := range []string{"router-1", "nobody"} {
			_, err := s.commands().Stop(context.Background(), &adminpb.StopRequest{Kind: adminpb.Kind_KIND_BACKEND, Name: name})
			Expect(codeOf(err)).To(Equal(twirp.NotFound))
		}
		Expect(s.stops).To(BeEmpty())
	})
})

var _ = Describe("Explain", func() {
	// A router sends a request to a sidecar whose clock is an hour behind. Ordered by
	// uncorrected times, the sidecar's step would come first and mislead the reader.
	It("orders steps by corrected clocks and names who did not answer", func() {
		router := newProcess("router-1", types.RoleRouter, fixedRevision(1), 0)
		slow := newProcess("sidecar-1", types.RoleSidecar, fixedRevision(1), -time.Hour)
		s := newSite(router, slow, newFrozen("frozen"))
		router.recorder.Emit(kindStep, "request", "req-1", "step", "sent")
		router.recorder.Emit(kindStep, "request", "req-2")
		slow.recorder.Emit(kindStep, "request", "req-1", "step", "ran")
		resp, err := s.queries().Explain(context.Background(), &adminpb.ExplainRequest{Request: "req-1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.GetSteps()).To(HaveLen(2))
		Expect(resp.GetSteps()[0].GetProcess()).To(Equal("router-1"))
		Expect(resp.GetSteps()[1].GetProcess()).To(Equal("sidecar-1"))
		Expect(resp.GetSteps()[1].GetProcessAtUnixUs()).To(BeNumerically("<", resp.GetSteps()[0].GetProcessAtUnixUs()))
		Expect(resp.GetCaveat()).NotTo(BeEmpty())
		Expect(resp.GetAsked()).To(HaveLen(3))
		for _, asked := range resp.GetAsked() {
			Expect(asked.GetError() != "").To(Equal(asked.GetProcess() == "frozen"))
			if asked.GetProcess() == "sidecar-1" {
				offset := time.Duration(asked.GetClockOffsetUs()) * time.Microsecond
				Expect(offset).To(BeNumerically("~", -time.Hour, 2*time.Second))
			}
		}
	})
})

// unpack returns a bundle's files by name.
func unpack(r io.Reader) map[string]string {
	zipped, err := gzip.NewReader(r)
	Expect(err).NotTo(HaveOccurred())
	files := map[string]string{}
	archive := tar.NewReader(zipped)
	for {
		header, err := archive.Next()
		if err == io.EOF {
			return files
		}
		Expect(err).NotTo(HaveOccurred())
		raw, err := io.ReadAll(archive)
		Expect(err).NotTo(HaveOccurred())
		files[header.Name] = string(raw)
	}
}

func (s *site) bundle() map[string]string {
	resp, err := s.http(token).Get(s.url + admin.PathBundle)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	return unpack(resp.Body)
}

var _ = Describe("the bundle", func() {
	// A process hangs while an operator writes the bundle that is to show why. The
	// bundle must be complete in bounded time and list the process as not responding.
	It("ends although a process hangs, and names it", func() {
		s := newSite(newProcess("router-1", types.RoleRouter, fixedRevision(1), 0), newFrozen("frozen"))
		_, err := s.commands().Apply(context.Background(), &adminpb.ApplyRequest{Text: []byte(`{"a": 1}`), Who: "ann"})
		Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		files := s.bundle()
		Expect(time.Since(began)).To(BeNumerically("<", 5*testTimeout))
		for _, name := range []string{"state.json", "events.json", "version.json", "metrics.txt", "goroutines.txt"} {
			Expect(files).To(HaveKey("processes/router-1/" + name))
		}
		Expect(files).To(HaveKey("texts/accepted-00000001.json"))
		Expect(files["history.json"]).To(ContainSubstring("ann"))
		Expect(files["processes/router-1/metrics.txt"]).To(ContainSubstring(`pearyard_events_total{event="PY4000"} 0`))
		var manifest admin.Manifest
		Expect(json.Unmarshal([]byte(files["MANIFEST.json"]), &manifest)).To(Succeed())
		Expect(manifest.Processes).To(HaveLen(2))
		Expect(manifest.Processes[0].Process).To(Equal("frozen"))
		Expect(manifest.Processes[0].Failed).To(HaveKey("state.json"))
		Expect(manifest.Processes[1].Failed).To(BeEmpty())
	})

	// An operator mails a bundle to the vendor. The configuration contains a key, a
	// note and an event repeat it, and a dump contains the API's token under a harmless
	// name. The bundle must not contain any of them.
	It("holds no token, no key and no caller's content", func() {
		p := newProcess("router-1", types.RoleRouter, fixedRevision(1), 0)
		s := newSite(p)
		const key, prompt = `k3y-of-"drummond"`, "plant 400 pears by Friday"
		text := "{\n\"organisations\": [{\"name\": \"d\", \"apiKeys\": [" + mustJSON(key) + "], \"max_tokens\": 77}]\n}"
		_, err := s.commands().Apply(context.Background(), &adminpb.ApplyRequest{Text: []byte(text), Note: "gave " + key})
		Expect(err).NotTo(HaveOccurred())
		p.registry.Add("requests", func() any {
			return []map[string]any{{"note": token, "prompt": prompt, "accepted": strings.Repeat("x", 9), "access_token": "later-token"}}
		})
		p.registry.Add("cut", func() any {
			return map[string]string{"password": "cut-password", "rest": strings.Repeat("y", inspect.MaxSectionBytes)}
		})
		p.recorder.Emit(kindStep, "sent_to", "platform-password", "seen", "later-token", "given", key)
		files := s.bundle()
		for name, content := range files {
			for _, secret := range []string{token, key, strings.Trim(mustJSON(key), `"`), prompt, "platform-password",
				"later-token", "cut-password"} {
				Expect(content).NotTo(ContainSubstring(secret), name)
			}
		}
		Expect(files["texts/accepted-00000001.json"]).To(And(ContainSubstring("77"), ContainSubstring(`"masked-`)))
		Expect(files["processes/router-1/state.json"]).To(And(ContainSubstring("xxxxxxxxx"), ContainSubstring("truncated")))
	})

	It("is written without the store, and lists what is missing", func() {
		s := newSite(newProcess("router-1", types.RoleRouter, fixedRevision(1), 0))
		_, err := s.commands().Apply(context.Background(), &adminpb.ApplyRequest{Text: []byte(`{}`)})
		Expect(err).NotTo(HaveOccurred())
		s.store.history = context.DeadlineExceeded
		files := s.bundle()
		Expect(files["texts/in-force-00000001.json"]).To(Equal("{}"))
		Expect(files).To(HaveKey("texts/in-force-00000001.json"))
		Expect(files["MANIFEST.json"]).To(ContainSubstring("history: context deadline exceeded"))
	})
})
