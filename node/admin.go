package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/admin"
	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/config"
	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/order"
	"github.com/pearyard/pearyard/peer"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

// pushTimeout bounds the spread of a new text to all members; who isn't
// reached by then learns of it from the stamps of ordinary traffic.
const pushTimeout = 4 * time.Second

func (r *Router) newAdmin() error {
	if r.opts.Admin == nil {
		return nil
	}
	server, err := admin.New(admin.Options{
		Token: r.opts.AdminToken, Process: r.opts.ID, Store: texts{r},
		InForce: r.inForce, Members: r.adminMembers, Quarantines: r.quarantines,
		Backends: r.backends, Stopper: stopper{r}, Recorder: r.recorder, Registerer: r.registry, HTTP: r.peer.Client(),
	})
	r.admin = server
	return err
}

// texts implements admin.Texts over the store of this router.
type texts struct{ r *Router }

// Accept commits a text, brings it into force here and hands it to all others.
func (t texts) Accept(ctx context.Context, change admin.Change) (types.Revision, findings.List, error) {
	rev, found, err := t.r.store.Accept(ctx, change.Base, change.Raw, change.Who, change.Note)
	if err != nil {
		return 0, found, t.failure(ctx, err)
	}
	// The text is accepted whatever comes now: an error here would tell the
	// operator that it isn't. The holder logs what it can't take.
	_, _ = t.r.holder.Offer(rev, change.Raw)
	go t.r.push()
	return rev, found, nil
}

func (r *Router) push() {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	r.pusher.Push(ctx, r.others())
}

func (t texts) failure(ctx context.Context, err error) error {
	var race *config.RaceError
	if errors.As(err, &race) {
		winner := admin.ConfigRevision{Revision: race.Winner, Who: race.By, Note: race.Note}
		return &admin.RaceError{Winner: winner, Diff: race.Diff}
	}
	var undecided *config.UndecidedError
	if errors.As(err, &undecided) {
		return errors.Wrap(admin.ErrAmbiguous, err.Error())
	}
	return err
}

// Load returns one accepted text.
func (t texts) Load(ctx context.Context, revision types.Revision) (admin.ConfigRevision, error) {
	raw, err := t.r.store.Load(ctx, revision)
	if errors.Is(err, backing.ErrNotFound) {
		return admin.ConfigRevision{}, admin.ErrNoRevision
	}
	if err != nil {
		return admin.ConfigRevision{}, err
	}
	out := admin.ConfigRevision{Revision: revision, Raw: raw}
	if e, err := t.r.store.Entry(ctx, revision); err == nil { // the text matters more than who accepted it
		out.Base, out.Who, out.Note, out.At = e.Base, e.By, e.Note, e.At
	}
	return out, nil
}

// History returns the accepted texts, the newest first, without their bodies.
func (t texts) History(ctx context.Context, limit int) ([]admin.ConfigRevision, error) {
	entries, err := t.r.store.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	if err := t.behind(entries); err != nil {
		return nil, err
	}
	out := make([]admin.ConfigRevision, 0, len(entries))
	for _, e := range entries {
		out = append(out, admin.ConfigRevision{Revision: e.Revision, Base: e.Base, Who: e.By, Note: e.Note, At: e.At})
	}
	return out, nil
}

// behind reports a history that ends before the text in force here.
//
// Failure it stops: the store answers from an old copy, and an operator is shown
// an older text, or none, as the newest. Whoever asked for the newest text gets
// the one in force instead.
func (t texts) behind(entries []config.Entry) error {
	var newest types.Revision
	if len(entries) > 0 {
		newest = entries[0].Revision
	}
	if known := t.r.holder.Revision(); newest < known {
		return &config.BehindError{Answered: newest, Known: known}
	}
	return nil
}

func (r *Router) inForce() admin.ConfigRevision {
	snapshot := r.holder.Current()
	if snapshot == nil {
		return admin.ConfigRevision{}
	}
	return admin.ConfigRevision{Revision: snapshot.Revision, Raw: snapshot.Raw}
}

func (r *Router) adminMembers() []admin.Member {
	view := r.members.Snapshot()
	out := make([]admin.Member, 0, len(view.Members))
	for _, m := range view.Members {
		member := admin.Member{
			Process: m.ID, Role: m.Role, Zone: m.Zone, Address: m.Address, BackendServer: m.BackendServer,
			State: admin.State(m.State), Incarnation: m.Incarnation, Revision: m.Revision,
		}
		if m.ID == r.opts.ID {
			member.InFlight = r.router.Streams()
		}
		if load, own, ok := r.router.LoadOf(m.BackendServer); ok {
			member.InFlight, member.Load = own, load
		}
		out = append(out, member)
	}
	return out
}

// backends lists the backend servers of the text in force, so that one whose
// sidecar was never heard of is named as absent.
func (r *Router) backends() []admin.Backend {
	in := r.text()
	if in == nil {
		return nil
	}
	var out []admin.Backend
	for i := range in.Services {
		for _, b := range in.Services[i].BackendServers {
			out = append(out, admin.Backend{Name: b.Name, Zone: types.Zone(b.Zone), Address: b.Sidecar})
		}
	}
	return out
}

func (r *Router) quarantines() []admin.Quarantine {
	var out []admin.Quarantine
	for _, e := range r.suspects.Dump().Entries {
		if e.State != suspect.Quarantined {
			continue
		}
		verdict := r.suspects.Verdict(e.Fingerprint)
		out = append(out, admin.Quarantine{Fingerprint: e.Fingerprint, Deaths: e.Open, Until: verdict.Until})
	}
	return out
}

// stopper implements admin.Stopper.
type stopper struct{ r *Router }

// Stop tells a process to begin its planned stop, and the members at once, so
// that no router waits for the process's own announcement.
func (s stopper) Stop(ctx context.Context, m admin.Member, who string) (int, error) {
	req := &streampb.StopRequest{Reason: "operator " + who}
	ctx = peer.Repeatable(ctx) // a second order to stop changes nothing
	var resp *streampb.StopResponse
	var err error
	if m.Role == types.RoleSidecar {
		resp, err = streampb.NewSidecarProtobufClient("http://"+m.Address, s.r.peer.Client()).Stop(ctx, req)
	} else {
		resp, err = streampb.NewRouterProtobufClient("http://"+m.Address, s.r.peer.Client()).Stop(ctx, req)
	}
	if err != nil {
		return 0, errors.Wrapf(err, "stop %s", m.Process)
	}
	s.r.members.MarkLeaving(m.Process)
	return int(resp.GetInFlight()), nil
}

// desired lists what the text in force asks of each engine.
func (r *Router) desired() []order.Target {
	in := r.text()
	if in == nil {
		return nil
	}
	var out []order.Target
	for i := range in.Services {
		s := &in.Services[i]
		if s.Kind != text.KindModel {
			continue
		}
		want := artefacts(s)
		for j := range s.BackendServers {
			out = append(out, order.Target{Address: s.BackendServers[j].Sidecar, Service: s.Name, Want: want})
		}
	}
	return out
}

func artefacts(s *text.Service) []order.Artefact {
	var out []order.Artefact
	for _, d := range s.DependsOn {
		switch {
		case d.Model != "":
			out = append(out, order.Artefact{Kind: engine.OrderLoadModel, Name: d.Model, Version: d.Version})
		case d.Adapter != "":
			out = append(out, order.Artefact{Kind: engine.OrderLoadAdapter, Name: d.Adapter, Version: d.Version})
		}
	}
	return out
}
