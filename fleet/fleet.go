// Package fleet lets entry VMs exchange state with each other. A VM that the store does
// not answer gets the configuration and the list of backend servers from peers that reach
// the store. Entry VMs find each other through rows in the store and through the seed
// addresses in their settings. There is no consensus protocol: every position comes from
// the store, and a receiver only moves to a newer position.
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
	"github.com/pearyard/pearyard/types"
)

// Registry is a table with a row for each entry VM.
type Registry interface {
	Put(ctx context.Context, table, key string, value []byte) error
	Rows(ctx context.Context, table string) (map[string][]byte, error)
}

const (
	registryTable = "entry_vms"
	// registryPollInterval is how often the watchers read the registry. VMs are added
	// rarely.
	registryPollInterval = 5 * time.Second
	// registryTimeout bounds one read of the registry and the write of the own row after it.
	registryTimeout = 2 * time.Second
	// retryPause and maxPause bound the pauses between attempts until the registry has been
	// read for the first time.
	retryPause = 200 * time.Millisecond
	maxPause   = time.Second
	// registryRetainPeriod is how long peers are retained whose rows are missing after the store
	// came back from a copy: two reads of the watchers, between which they write them again.
	registryRetainPeriod = 2 * registryPollInterval
	// registryRereadDelay is how long after the store came back from a copy the watchers read
	// the registry. Right after an outage each VM takes itself for one.
	registryRereadDelay = time.Second
	// peersPerQuery is how many peers are asked at once: more than one, as the store may
	// not answer a peer either.
	peersPerQuery = 2
	// queryTimeout bounds one query; it allows for many round trips.
	queryTimeout = 400 * time.Millisecond
)

// Options configures a Fleet.
type Options struct {
	Name      string
	Address   string   // of this process, as other VMs reach it
	Seeds     []string // initial peer addresses, possibly stale
	Registry  Registry
	Holder    *site.Holder
	Directory *directory.Directory
	// Decode decodes a configuration as the store holds it.
	Decode func(position types.Position, raw []byte) (*site.Versioned, error)
	// OfferConfig and OfferList apply a configuration and a list that a peer sent.
	OfferConfig func(v *site.Versioned, from string)
	OfferList   func(position types.Position, list []directory.Listing, settled bool, from string)
	// OfferChanges applies the changes since the list of this process.
	OfferChanges func(position types.Position, changed []directory.Listing, gone []string, settled bool, from string)
	// Settled reports whether the list of this process was read from a store that had not
	// been unavailable, so that a server missing from it is gone.
	Settled func() bool
	// Dial returns a client for the queries to a peer.
	Dial     func(peer string) fleetpb.Fleet
	Recorder *event.Recorder
}

// Fleet tracks the other entry VMs, queries them and answers their queries.
type Fleet struct {
	opts       Options
	peers      atomic.Pointer[[]string]   // addresses of the other entry VMs, sorted
	cellPeers  atomic.Pointer[[]string]   // those in the cell of this process
	otherCells atomic.Pointer[[][]string] // see OtherCells
	known      chan struct{}              // closed when the registry has been read
	eraChanged chan struct{}              // holds a token after EraChanged, for CatchUpWithPeers
	// registryReturned is the same for Run. Rows that the copy lacks are written again by
	// their VMs, which learn of it from the digest that the watchers announce.
	registryReturned chan struct{}
	retainUntil      atomic.Int64 // Unix nanoseconds until which peers without a row are retained
	additions        additions
	size             atomic.Int64 // number of entry VMs; 0 until the registry has been read
	sendLimiter      rateLimiter

	election *Election // nil: this process reads the registry itself

	configHistory      configHistory
	pulling            atomic.Bool          // a peer that knows more than this process is being queried
	unreadablePosition types.AtomicPosition // position of the newest configuration from a peer that could not be decoded

	invalidRows []string // invalid rows in the last log line; only Run's goroutine uses it
}

// DialHTTP returns a function that calls peers by their HTTP addresses.
func DialHTTP(client *http.Client) func(peer string) fleetpb.Fleet {
	return func(peer string) fleetpb.Fleet { return fleetpb.NewFleetProtobufClient("http://"+peer, client) }
}

// New returns a Fleet whose only peers are the seeds.
func New(opts Options) *Fleet {
	f := &Fleet{opts: opts, known: make(chan struct{}), eraChanged: make(chan struct{}, 1), registryReturned: make(chan struct{}, 1)}
	f.setPeers(opts.Seeds)
	return f
}

// Run registers this process and keeps the addresses of the other VMs up to date until ctx
// ends.
func (f *Fleet) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		err := f.syncRegistry(ctx)
		if err == nil {
			failures = 0
			f.waitForNextRead(ctx)
			continue
		}
		failures++
		f.waitAfterFailure(ctx, failures)
	}
	return ctx.Err()
}

// waitAfterFailure waits after the registry could not be read. Once the other VMs are
// known there is no hurry, as VMs are added rarely.
func (f *Fleet) waitAfterFailure(ctx context.Context, failures int) {
	if f.size.Load() > 0 {
		_ = retry.Wait(ctx, registryPollInterval)
		return
	}
	_ = retry.Wait(ctx, retry.BackoffBetween(retryPause, maxPause, failures))
}

// UseElection sets the election that decides which entry VMs read the registry; it must be
// called before Run. Without an election each VM reads it.
func (f *Fleet) UseElection(e *Election) { f.election = e }

// waitForNextRead waits until the registry has to be read again.
func (f *Fleet) waitForNextRead(ctx context.Context) {
	if f.election == nil {
		_ = retry.Wait(ctx, registryPollInterval)
		return
	}
	ticker := time.NewTicker(registryPollInterval)
	defer ticker.Stop()
	var reread <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.election.NewMembers():
			return
		case <-f.registryReturned:
			reread = time.After(registryRereadDelay)
			continue
		case <-reread:
			reread = nil
		case <-ticker.C:
		}
		if f.election.isHealthyWatcher() || !f.election.MembersDelegated() {
			return
		}
	}
}

// syncRegistry reads the rows of all entry VMs and writes that of this process if it isn't
// there. A process that starts again usually finds its row: the store carries out writes one
// after another, and those of many VMs that start together would delay each of them.
func (f *Fleet) syncRegistry(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	rows, err := f.opts.Registry.Rows(ctx, registryTable)
	if err != nil {
		return err
	}
	// Another program may also have overwritten the row, which hides this process from the
	// others.
	registered := string(rows[f.opts.Name]) != f.opts.Address
	if registered {
		if err := f.opts.Registry.Put(ctx, registryTable, f.opts.Name, []byte(f.opts.Address)); err != nil {
			return err
		}
		// VMs that are new with this one have written their rows by now.
		if rows, err = f.opts.Registry.Rows(ctx, registryTable); err != nil {
			return err
		}
	}
	addresses := f.addresses(rows)
	before := f.Peers()
	if time.Now().UnixNano() < f.retainUntil.Load() {
		f.setPeers(append(slices.Clone(addresses), f.Peers()...))
	} else {
		f.setPeers(addresses)
	}
	f.noteAdditions(before, f.Peers(), registered)
	if f.size.Swap(int64(len(f.Peers()))+1) == 0 {
		close(f.known)
	}
	if f.election != nil {
		f.election.MembersRead(f.digest(addresses))
	}
	return nil
}

// digest returns a hash of the addresses in the registry and that of this process.
func (f *Fleet) digest(addresses []string) uint64 {
	all := append(slices.Clone(addresses), f.opts.Address)
	slices.Sort(all)
	all = slices.Compact(all)
	return xxhash.Sum64String(strings.Join(all, " "))
}

// addresses returns the valid addresses in rows and logs the other rows. Any program may
// write a row. A value that is no ip:port would cause a DNS lookup for each datagram, and
// would count as a VM that shares the retry budget.
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

// maxLoggedRows is how many invalid rows a log line shows.
const maxLoggedRows = 8

// logInvalidRows logs the invalid rows whenever they have changed.
func (f *Fleet) logInvalidRows(rows []string) {
	slices.Sort(rows)
	if slices.Equal(rows, f.invalidRows) {
		return
	}
	f.invalidRows = rows
	if len(rows) > 0 {
		f.opts.Recorder.Emit(EventNoPeer, "rows", strings.Join(rows[:min(len(rows), maxLoggedRows)], "; "), "count", len(rows))
	}
}

// FetchNewest asks a few peers for newer data than that of this process.
func (f *Fleet) FetchNewest(ctx context.Context) {
	f.askPeers(ctx, false)
}

// askPeers asks a few peers for what is newer than the configuration and the list in force
// here, or for no list.
func (f *Fleet) askPeers(ctx context.Context, withoutList bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	peers := f.Peers()
	var group errgroup.Group
	for _, i := range rand.Perm(len(peers))[:min(peersPerQuery, len(peers))] {
		group.Go(func() error {
			request := f.request(f.opts.Directory.View().Position, false)
			request.WithoutList = withoutList
			f.query(ctx, peers[i], request)
			return nil
		})
	}
	_ = group.Wait()
}

// Fetch asks one peer for the changes of the configuration, and of the list since a
// position. Unless full is set, the answer holds no full configuration or list: a watcher
// that sent a large text to all others would saturate its link.
func (f *Fleet) Fetch(ctx context.Context, peer string, since types.Position, full bool) {
	f.query(ctx, peer, f.request(since, !full))
}

// pull asks a peer that knows a newer configuration than this process, unless another one is
// being asked.
func (f *Fleet) pull(peer string) {
	if !directory.ValidAddress(peer) || !f.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		f.query(ctx, peer, f.request(f.opts.Directory.View().Position, false))
	}()
}

// query sends a query to a peer and applies the answer.
func (f *Fleet) query(ctx context.Context, peer string, request *fleetpb.NewestRequest) {
	answer, err := f.opts.Dial(peer).Newest(ctx, request)
	if err != nil {
		f.opts.Recorder.Emit(EventPeerSilent, "peer", peer, "err", err)
		return
	}
	f.applyAnswer(peer, answer)
}

// request returns the query for what is newer than the configuration in force here and than
// the list at a position.
func (f *Fleet) request(since types.Position, changesOnly bool) *fleetpb.NewestRequest {
	known := ConfigMark(f.opts.Holder.Current())
	return &fleetpb.NewestRequest{
		Sender: f.opts.Address, ConfigVersion: known.Version, ConfigPosition: uint64(known.Position), ListPosition: uint64(since),
		ChangesOnly: changesOnly, Leaving: f.opts.Directory.LeavingStarts(), Doubted: f.doubted(since.Era()),
	}
}

// applyAnswer applies what is newer in a peer's answer than the data in force here.
func (f *Fleet) applyAnswer(peer string, answer *fleetpb.NewestResponse) {
	f.applyConfig(peer, answer)
	f.applyList(peer, answer)
	f.recordLeaving(answer.GetLeaving(), answer.GetDoubted())
}

// recordLeaving records the servers that a peer knows to leave, or to have left.
func (f *Fleet) recordLeaving(leaving []uint32, doubted []*fleetpb.Doubted) {
	now := time.Now()
	for _, start := range leaving {
		f.opts.Directory.RecordPeerLeaving(start, now)
	}
	for _, d := range doubted {
		f.opts.Directory.RecordPeerDoubt(d.GetStart(), time.Duration(d.GetForMs())*time.Millisecond, now)
	}
}

// doubted returns the servers that had left before an era.
func (f *Fleet) doubted(era uint64) []*fleetpb.Doubted {
	var list []*fleetpb.Doubted
	for start, left := range f.opts.Directory.DoubtedStarts(era, time.Now()) {
		if left > 0 {
			list = append(list, &fleetpb.Doubted{Start: start, ForMs: uint32(left.Milliseconds())})
		}
	}
	return list
}

// applyList applies the list of servers in a peer's answer if it is newer.
func (f *Fleet) applyList(peer string, answer *fleetpb.NewestResponse) {
	position := types.Position(answer.GetListPosition())
	if position <= f.opts.Directory.View().Position {
		return
	}
	if answer.GetDelta() {
		f.opts.OfferChanges(position, listingsFromProto(answer.GetServers()), answer.GetGone(), answer.GetSettled(), peer)
	} else {
		f.opts.OfferList(position, listingsFromProto(answer.GetServers()), answer.GetSettled(), peer)
	}
}

// applyConfig applies the configuration in an answer if it is newer. One that can't be
// decoded is logged once and does not keep the list of servers in the same answer from being
// applied.
func (f *Fleet) applyConfig(peer string, answer *fleetpb.NewestResponse) {
	position := types.Position(answer.GetConfigPosition())
	known := f.opts.Holder.Position()
	if position == 0 || (position.Era() == known.Era() && position <= known) {
		return
	}
	raw, err := f.configText(answer)
	if err != nil {
		f.opts.Recorder.Emit(EventDeltaUnusable, "from", peer, "position", position, "err", err)
		return
	}
	v, err := f.opts.Decode(position, raw)
	if err != nil {
		if f.unreadablePosition.Advance(position) {
			f.opts.Recorder.Emit(site.EventUnreadable, "from", peer, "position", position, "err", err)
		}
		return
	}
	f.opts.OfferConfig(v, peer)
	if answer.GetConfigIsDelta() {
		return
	}
	f.opts.Recorder.Emit(EventHelped, "peer", peer, "config_position", v.Position)
}

// configText returns the full text of the configuration in a peer's answer.
func (f *Fleet) configText(answer *fleetpb.NewestResponse) ([]byte, error) {
	if !answer.GetConfigIsDelta() {
		return answer.GetConfig(), nil
	}
	own := f.opts.Holder.Current()
	if own == nil {
		return nil, errNoBaseConfig
	}
	return applyDelta(own.Raw, answer.GetConfig())
}

// errNoBaseConfig says that a delta was received but this process has no configuration.
var errNoBaseConfig = errors.New("fleet: received a configuration delta without a configuration to apply it to")

// Applied records a configuration that has come into force, for answers to peers.
func (f *Fleet) Applied(v *site.Versioned) { f.configHistory.add(v) }
