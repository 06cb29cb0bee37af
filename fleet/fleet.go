// Package fleet lets entry VMs help each other when the store turns one of them
// away: who reaches the store hands on the configuration and the list of
// backend servers. Entry VMs find each other by rows in the store and by the
// seeds of their settings. Nothing is agreed on here: every position comes from
// the store, and a receiver only ever moves forward.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
	fleetpb "github.com/pearyard/pearyard/rpc/fleet"
	"github.com/pearyard/pearyard/site"
)

// Registry holds a row for each entry VM.
type Registry interface {
	Put(ctx context.Context, table, key string, value []byte) error
	Rows(ctx context.Context, table string) (map[string][]byte, error)
}

const (
	registryTable = "entry_vms"
	// lookEvery is how often the watchers read the registry: VMs are added seldom.
	lookEvery       = 5 * time.Second
	registryTimeout = 2 * time.Second
	retryPause      = 200 * time.Millisecond
	maxPause        = time.Second
	// helpers is how many peers are asked at once: more than one, as a peer may
	// be turned away as well.
	helpers = 2
	// helpTimeout bounds one question; it is many round trips.
	helpTimeout = 400 * time.Millisecond
)

// Options of a Fleet.
type Options struct {
	Name      string
	Address   string   // of this process, for others
	Seeds     []string // addresses that may be stale
	Registry  Registry
	Holder    *site.Holder
	Directory *directory.Directory
	// Decode reads a configuration as the store holds it.
	Decode func(position uint64, raw []byte) (*site.Versioned, error)
	// OfferConfig and OfferList put in force what a peer told.
	OfferConfig func(v *site.Versioned, from string)
	OfferList   func(position uint64, list []directory.Listing, settled bool, from string)
	// OfferChanges is OfferList for what changed since the list here.
	OfferChanges func(position uint64, changed []directory.Listing, gone []string, settled bool, from string)
	// Settled tells whether the list here was read from a store that had not been away.
	Settled  func() bool
	Client   *http.Client
	Recorder *event.Recorder
}

// Fleet knows the other entry VMs.
type Fleet struct {
	opts  Options
	peers atomic.Pointer[[]string]
	near  atomic.Pointer[[]string]
	size  atomic.Int64 // 0 until the registry has been read
	pace  pace

	election *Election // nil: each process reads the registry

	texts      texts
	unreadable atomic.Uint64 // position of the newest configuration of a peer that can't be read

	invalidRows []string // rows that name no VM, as last told; used by Run alone
}

// unknownSize stands for the number of entry VMs until it is known: more than
// there are anywhere.
const unknownSize = 1 << 20

// New returns a Fleet that knows its seeds.
func New(opts Options) *Fleet {
	f := &Fleet{opts: opts}
	f.setPeers(opts.Seeds)
	return f
}

func (f *Fleet) setPeers(addresses []string) {
	seen := map[string]bool{f.opts.Address: true}
	peers := make([]string, 0, len(addresses))
	for _, a := range addresses {
		if a != "" && !seen[a] {
			seen[a] = true
			peers = append(peers, a)
		}
	}
	slices.Sort(peers)
	f.peers.Store(&peers)
	cells := directory.Cells(len(peers) + 1)
	own := directory.CellOf(f.opts.Address, cells)
	f.opts.Directory.SetCells(own, cells)
	near := peers
	if cells > 1 {
		near = slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return directory.CellOf(p, cells) != own })
	}
	f.near.Store(&near)
	place, _ := slices.BinarySearch(near, f.opts.Address)
	f.opts.Directory.SetPartition(place, len(near)+1)
}

// Peers returns the addresses of the others.
func (f *Fleet) Peers() []string { return *f.peers.Load() }

// Near returns the addresses of those that share this process's cell.
func (f *Fleet) Near() []string { return *f.near.Load() }

// Size returns how many entry VMs there are, this one included; very many until
// that is known.
//
// Until then the seeds alone are known, far fewer than there are; what all may do
// together is divided by their number.
func (f *Fleet) Size() int {
	if size := f.size.Load(); size > 0 {
		return int(size)
	}
	return unknownSize
}

// Run announces this process and follows the others until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	announced := false
	failures := 0
	for ctx.Err() == nil {
		err := f.exchangeRows(ctx, &announced)
		if err == nil {
			failures = 0
			f.rest(ctx)
			continue
		}
		failures++
		f.pause(ctx, failures)
	}
	return ctx.Err()
}

// pause waits after the registry could not be read. Once the others are known there
// is no hurry: VMs are added seldom.
func (f *Fleet) pause(ctx context.Context, failures int) {
	if f.size.Load() > 0 {
		_ = retry.Wait(ctx, lookEvery)
		return
	}
	_ = retry.Wait(ctx, retry.BackoffBetween(retryPause, maxPause, failures))
}

// UseElection sets who picks the entry VMs that read the registry; it is called
// before Run. Without one each reads it.
func (f *Fleet) UseElection(e *Election) { f.election = e }

// rest waits until the registry is to be read again.
func (f *Fleet) rest(ctx context.Context) {
	if f.election == nil {
		_ = retry.Wait(ctx, lookEvery)
		return
	}
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.election.NewMembers():
			return
		case <-look.C:
		}
		if f.election.watchesNow() || !f.election.MembersDelegated() {
			return
		}
	}
}

func (f *Fleet) exchangeRows(ctx context.Context, announced *bool) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	if !*announced {
		if err := f.opts.Registry.Put(ctx, registryTable, f.opts.Name, []byte(f.opts.Address)); err != nil {
			return err
		}
		*announced = true
	}
	rows, err := f.opts.Registry.Rows(ctx, registryTable)
	if err != nil {
		return err
	}
	// Its own row may have been written over: then the others don't know it.
	*announced = directory.ValidAddress(string(rows[f.opts.Name]))
	f.setPeers(f.addresses(rows))
	f.size.Store(int64(len(f.Peers())) + 1)
	if f.election != nil {
		f.election.MembersRead(f.digest())
	}
	return nil
}

// digest returns a hash of all entry VMs, this one included.
func (f *Fleet) digest() uint64 {
	all := append(slices.Clone(f.Peers()), f.opts.Address)
	slices.Sort(all)
	return xxhash.Sum64String(strings.Join(all, " "))
}

// addresses returns those that rows name. Any program may write a row; one that
// is no ip:port would be looked up as a name for each datagram, and count as a VM
// that shares the retry budget.
func (f *Fleet) addresses(rows map[string][]byte) []string {
	addresses := make([]string, 0, len(rows))
	var invalid []string
	for key, value := range rows {
		if directory.ValidAddress(string(value)) {
			addresses = append(addresses, string(value))
			continue
		}
		invalid = append(invalid, fmt.Sprintf("%.60q: %.60q", key, value))
	}
	f.logInvalidRows(invalid)
	return addresses
}

// loggedRows is how many rows that name no VM a log line shows.
const loggedRows = 8

// logInvalidRows tells of rows that name no VM, once as long as they stay the same.
func (f *Fleet) logInvalidRows(rows []string) {
	slices.Sort(rows)
	if slices.Equal(rows, f.invalidRows) {
		return
	}
	f.invalidRows = rows
	if len(rows) > 0 {
		f.opts.Recorder.Emit(EventNoPeer, "rows", strings.Join(rows[:min(len(rows), loggedRows)], "; "), "count", len(rows))
	}
}

// Ask asks a few peers for what is newer than what is known here.
func (f *Fleet) Ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, helpTimeout)
	defer cancel()
	peers := f.Peers()
	var group errgroup.Group
	for _, i := range rand.Perm(len(peers))[:min(helpers, len(peers))] {
		group.Go(func() error {
			f.ask(ctx, peers[i], f.opts.Directory.View().Position, false)
			return nil
		})
	}
	_ = group.Wait()
}

// AskChanges asks one peer for what has changed in the configuration, and in the
// list since a position. It gets nothing whole: a watcher that handed a large text
// to all others would have no room left on its link.
func (f *Fleet) AskChanges(ctx context.Context, peer string, since uint64) {
	f.ask(ctx, peer, since, true)
}

func (f *Fleet) ask(ctx context.Context, peer string, since uint64, changesOnly bool) {
	client := fleetpb.NewFleetProtobufClient("http://"+peer, f.opts.Client)
	answer, err := client.Newest(ctx, &fleetpb.NewestRequest{
		Sender: f.opts.Address, ConfigPosition: f.opts.Holder.Position(), ListPosition: since,
		ChangesOnly: changesOnly,
	})
	if err != nil {
		f.opts.Recorder.Emit(EventPeerSilent, "peer", peer, "err", err)
		return
	}
	f.take(peer, answer)
}

func (f *Fleet) take(peer string, answer *fleetpb.NewestResponse) {
	f.takeConfig(peer, answer)
	if answer.GetListPosition() <= f.opts.Directory.View().Position {
		return
	}
	if answer.GetDelta() {
		f.opts.OfferChanges(answer.GetListPosition(), listings(answer.GetServers()), answer.GetGone(), answer.GetSettled(), peer)
	} else {
		f.opts.OfferList(answer.GetListPosition(), listings(answer.GetServers()), answer.GetSettled(), peer)
	}
}

// takeConfig takes a newer configuration. One that can't be read is told once; the
// list of servers beside it is none the worse for it.
func (f *Fleet) takeConfig(peer string, answer *fleetpb.NewestResponse) {
	if answer.GetConfigPosition() <= f.opts.Holder.Position() {
		return
	}
	raw, err := f.configText(answer)
	if err != nil {
		f.opts.Recorder.Emit(EventDeltaUnusable, "from", peer, "position", answer.GetConfigPosition(), "err", err)
		return
	}
	v, err := f.opts.Decode(answer.GetConfigPosition(), raw)
	if err != nil {
		if f.unreadable.Swap(answer.GetConfigPosition()) != answer.GetConfigPosition() {
			f.opts.Recorder.Emit(site.EventUnreadable, "from", peer, "position", answer.GetConfigPosition(), "err", err)
		}
		return
	}
	f.opts.OfferConfig(v, peer)
	if answer.GetConfigIsDelta() {
		return
	}
	f.opts.Recorder.Emit(EventHelped, "peer", peer, "config_position", v.Position)
}

// configText returns the text of a peer's configuration.
func (f *Fleet) configText(answer *fleetpb.NewestResponse) ([]byte, error) {
	if !answer.GetConfigIsDelta() {
		return answer.GetConfig(), nil
	}
	own := f.opts.Holder.Current()
	if own == nil {
		return nil, errNoText
	}
	return applyDelta(own.Raw, answer.GetConfig())
}

// errNoText: a delta came to a process that has no configuration.
var errNoText = errors.New("fleet: a delta for no text")

// Applied notes that a configuration is in force here, for others that ask.
func (f *Fleet) Applied(v *site.Versioned) { f.texts.add(v) }

// Handler serves peers.
func (f *Fleet) Handler() http.Handler { return fleetpb.NewFleetServer(f) }

// Newest implements fleetpb.Fleet.
func (f *Fleet) Newest(_ context.Context, r *fleetpb.NewestRequest) (*fleetpb.NewestResponse, error) {
	answer := &fleetpb.NewestResponse{Settled: f.opts.Settled()}
	view := f.opts.Directory.View()
	behind := view.Position > r.GetListPosition()
	if behind {
		behind = !f.changes(answer, r.GetListPosition())
	}
	if delta, newest := f.texts.since(r.GetConfigPosition()); delta != nil {
		answer.ConfigPosition, answer.Config, answer.ConfigIsDelta = newest.Position, delta, true
	}
	if !r.GetChangesOnly() {
		f.whole(answer, f.configAfter(r.GetConfigPosition()), view, behind)
	}
	return answer, nil
}

// changes answers with what changed in the list since a position; false if that
// is no longer known. At 3,000 servers a list is 300 KB, a change some hundred bytes.
func (f *Fleet) changes(answer *fleetpb.NewestResponse, since uint64) bool {
	position, changed, gone, ok := f.opts.Directory.ChangesSince(since)
	if ok {
		answer.ListPosition, answer.Servers, answer.Gone, answer.Delta = position, wire(changed), gone, true
	}
	return ok
}

// configAfter returns the configuration in force if it is newer than a position.
func (f *Fleet) configAfter(position uint64) *site.Versioned {
	if v := f.opts.Holder.Current(); v != nil && v.Position > position {
		return v
	}
	return nil
}

// whole answers with a whole configuration, a whole list or both, if this
// process may hand on that much now.
func (f *Fleet) whole(answer *fleetpb.NewestResponse, config *site.Versioned, view *directory.View, list bool) {
	if answer.ConfigIsDelta {
		config = nil
	}
	bytes := 0
	if config != nil {
		bytes += len(config.Raw)
	}
	if list {
		bytes += serverBytes * len(view.Listings)
	}
	if bytes == 0 || !f.pace.allow(bytes, time.Now()) {
		return
	}
	if config != nil {
		answer.ConfigPosition, answer.Config = config.Position, config.Raw
	}
	if list {
		answer.ListPosition, answer.Servers = view.Position, wire(view.Listings)
	}
}

func wire(list []directory.Listing) []*fleetpb.Server {
	out := make([]*fleetpb.Server, len(list))
	for i, l := range list {
		out[i] = &fleetpb.Server{
			Id: l.ID, Service: l.Service, Address: l.Address, Zone: l.Zone, Slots: int32(l.Slots),
			Draining: l.Draining, ColdNano: int64(l.Cold), Born: l.Born,
		}
	}
	return out
}

func listings(servers []*fleetpb.Server) []directory.Listing {
	out := make([]directory.Listing, len(servers))
	for i, s := range servers {
		out[i] = listing(s)
	}
	return out
}

// listing reads one entry of a peer's list. One that names no server at the peer
// comes as its id alone, and names none here.
func listing(s *fleetpb.Server) directory.Listing {
	return directory.Listing{
		ID: s.GetId(), Service: s.GetService(), Address: s.GetAddress(), Zone: s.GetZone(), Slots: int(s.GetSlots()),
		Draining: s.GetDraining(), Cold: time.Duration(s.GetColdNano()), Born: s.GetBorn(),
	}.Checked()
}
