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

// pushTimeout limits the time for pushing a new configuration to all members. A member
// that isn't reached by then learns of it from the stamps on ordinary traffic.
const pushTimeout = 4 * time.Second

func (r *Router) newAdmin() error {
	if r.opts.Admin == nil {
		return nil
	}
	server, err := admin.New(admin.Options{
		Token: r.opts.AdminToken, Process: r.opts.ID, Store: configStore{r},
		InForce: r.configInForce, Members: r.adminMembers, Quarantines: r.quarantines,
		Backends: r.backends, Stopper: stopper{r}, Recorder: r.recorder, Registerer: r.registry, HTTP: r.peer.Client(),
	})
	r.admin = server
	return err
}

// configStore implements admin.ConfigStore with this router's store.
type configStore struct{ r *Router }

// Accept commits a configuration, applies it here and pushes it to all members.
func (c configStore) Accept(ctx context.Context, change admin.Change) (types.Revision, findings.List, error) {
	rev, found, err := c.r.store.Accept(ctx, change.Base, change.Raw, change.Who, change.Note)
	if err != nil {
		return 0, found, c.translateError(ctx, err)
	}
	// The configuration is committed whatever happens from here on: returning an error
	// would tell the operator that it isn't. The holder logs what it can't apply.
	_, _ = c.r.holder.Offer(rev, change.Raw)
	go c.r.pushConfig()
	return rev, found, nil
}

// pushConfig pushes the configuration in force to all other members.
func (r *Router) pushConfig() {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	r.pusher.Push(ctx, r.peerAddresses())
}

// translateError returns the error of package admin for an error of the store.
func (c configStore) translateError(ctx context.Context, err error) error {
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

// Load returns one committed configuration.
func (c configStore) Load(ctx context.Context, revision types.Revision) (admin.ConfigRevision, error) {
	raw, err := c.r.store.Load(ctx, revision)
	if errors.Is(err, backing.ErrNotFound) {
		return admin.ConfigRevision{}, admin.ErrNoRevision
	}
	if err != nil {
		return admin.ConfigRevision{}, err
	}
	out := admin.ConfigRevision{Revision: revision, Raw: raw}
	if e, err := c.r.store.Entry(ctx, revision); err == nil { // the configuration is useful even without its metadata
		out.Base, out.Who, out.Note, out.At = e.Base, e.By, e.Note, e.At
	}
	return out, nil
}

// History returns the committed configurations without their contents, newest first.
func (c configStore) History(ctx context.Context, limit int) ([]admin.ConfigRevision, error) {
	entries, err := c.r.store.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	if err := c.checkHistory(entries); err != nil {
		return nil, err
	}
	out := make([]admin.ConfigRevision, 0, len(entries))
	for _, e := range entries {
		out = append(out, admin.ConfigRevision{Revision: e.Revision, Base: e.Base, Who: e.By, Note: e.Note, At: e.At})
	}
	return out, nil
}

// checkHistory returns an error if the history ends before the revision in force here.
//
// It guards against a store that answers from an outdated copy: an operator would be shown
// an older configuration, or none, as the newest. A caller who asked for the newest one
// gets the one in force instead.
func (c configStore) checkHistory(entries []config.Entry) error {
	var newest types.Revision
	if len(entries) > 0 {
		newest = entries[0].Revision
	}
	if known := c.r.holder.Revision(); newest < known {
		return &config.BehindError{Answered: newest, Known: known}
	}
	return nil
}

func (r *Router) configInForce() admin.ConfigRevision {
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
		if load, inFlight, ok := r.router.LoadOf(m.BackendServer); ok {
			member.InFlight, member.Load = inFlight, load
		}
		out = append(out, member)
	}
	return out
}

// backends lists the backend servers of the configuration in force, so that one whose
// sidecar was never heard of is reported as absent.
func (r *Router) backends() []admin.Backend {
	cfg := r.currentConfig()
	if cfg == nil {
		return nil
	}
	var out []admin.Backend
	for i := range cfg.Services {
		for _, b := range cfg.Services[i].BackendServers {
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

// Stop tells a process to begin its planned stop, and tells the members immediately, so
// that no router has to wait for that process's own announcement.
func (s stopper) Stop(ctx context.Context, m admin.Member, who string) (int, error) {
	req := &streampb.StopRequest{Reason: "operator " + who}
	ctx = peer.Repeatable(ctx) // a second stop request changes nothing
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

// desiredArtefacts lists what the configuration in force requires of each engine.
func (r *Router) desiredArtefacts() []order.Target {
	cfg := r.currentConfig()
	if cfg == nil {
		return nil
	}
	var out []order.Target
	for i := range cfg.Services {
		s := &cfg.Services[i]
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

// artefacts returns the models and adapters that a service depends on.
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
