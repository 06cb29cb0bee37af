package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/pearyard/pearyard/directory"
	fleetpb "github.com/pearyard/pearyard/rpc/fleet"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// Handler serves the queries of peers.
func (f *Fleet) Handler() http.Handler { return fleetpb.NewFleetServer(f) }

// Newest implements fleetpb.Fleet.
func (f *Fleet) Newest(_ context.Context, r *fleetpb.NewestRequest) (*fleetpb.NewestResponse, error) {
	f.recordLeaving(r.GetLeaving(), r.GetDoubted())
	answer := &fleetpb.NewestResponse{Settled: f.opts.Settled(), Leaving: f.opts.Directory.LeavingStarts(), Doubted: f.doubted(types.Position(r.GetListPosition()).Era())}
	view := f.opts.Directory.View()
	listPosition, theirs := types.Position(r.GetListPosition()), Mark{r.GetConfigVersion(), types.Position(r.GetConfigPosition())}
	if own := ConfigMark(f.opts.Holder.Current()); own.Version < theirs.Version {
		f.pull(r.GetSender())
	}
	needsFullList := view.Position > listPosition && !r.GetWithoutList()
	if needsFullList {
		needsFullList = !f.addListChanges(answer, listPosition)
	}
	if delta, newest := f.configHistory.deltaSince(theirs.Position); delta != nil {
		answer.ConfigPosition, answer.Config, answer.ConfigIsDelta = uint64(newest.Position), delta, true
	}
	if !r.GetChangesOnly() {
		f.addFull(answer, f.configAfter(theirs), view, needsFullList)
	}
	return answer, nil
}

// addListChanges adds the changes of the list since a position to the answer. It reports
// false if those changes are no longer known. At 3,000 servers a list is 300 KB, a change
// a few hundred bytes.
func (f *Fleet) addListChanges(answer *fleetpb.NewestResponse, since types.Position) bool {
	position, changed, gone, ok := f.opts.Directory.ChangesSince(since)
	if ok {
		answer.ListPosition, answer.Servers, answer.Gone, answer.Delta = uint64(position), toProto(changed), gone, true
	}
	return ok
}

// configAfter returns the configuration in force if its mark is later than another, else nil.
func (f *Fleet) configAfter(mark Mark) *site.Versioned {
	if v := f.opts.Holder.Current(); mark.Before(ConfigMark(v)) {
		return v
	}
	return nil
}

// addFull adds the configuration, unless it is nil or the answer holds a delta of it, and the
// full list if list is set. It adds neither if the send rate does not allow both.
func (f *Fleet) addFull(answer *fleetpb.NewestResponse, config *site.Versioned, view *directory.View, list bool) {
	if answer.ConfigIsDelta {
		config = nil
	}
	bytes := 0
	if config != nil {
		bytes += len(config.Raw)
	}
	if list {
		bytes += serverEntryBytes * len(view.Listings)
	}
	if bytes == 0 || !f.sendLimiter.allow(bytes, time.Now()) {
		return
	}
	if config != nil {
		answer.ConfigPosition, answer.Config = uint64(config.Position), config.Raw
	}
	if list {
		answer.ListPosition, answer.Servers = uint64(view.Position), toProto(view.Listings)
	}
}

func toProto(list []directory.Listing) []*fleetpb.Server {
	out := make([]*fleetpb.Server, len(list))
	for i, l := range list {
		out[i] = &fleetpb.Server{
			Id: l.ID, Service: l.Service, Address: l.Address, Zone: l.Zone, Slots: int32(l.Slots),
			Draining: l.Draining, ColdNano: int64(l.Cold), Born: l.Born, Version: l.Version,
		}
	}
	return out
}

func listingsFromProto(servers []*fleetpb.Server) []directory.Listing {
	out := make([]directory.Listing, len(servers))
	for i, s := range servers {
		out[i] = listingFromProto(s)
	}
	return out
}

// listingFromProto converts one entry of a peer's list. An entry that the peer considers
// invalid arrives as an ID alone, and is invalid here too.
func listingFromProto(s *fleetpb.Server) directory.Listing {
	return directory.Listing{
		ID: s.GetId(), Service: s.GetService(), Address: s.GetAddress(), Zone: s.GetZone(), Slots: int(s.GetSlots()),
		Draining: s.GetDraining(), Cold: time.Duration(s.GetColdNano()), Born: s.GetBorn(), Version: s.GetVersion(),
	}.Checked()
}
