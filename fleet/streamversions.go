package fleet

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/streamversion"
)

const (
	// streamReplicas is how many VMs, beside the one that serves a stream, hold its record.
	streamReplicas = 3
	// smallSite is the number of VMs up to which all of them hold each record.
	smallSite = 9
	// askedForStream is how many VMs are asked for a record: more than hold it, as some may
	// have been added or removed since.
	askedForStream = 6
	// streamAnswerWait is how long the answers of peers are awaited, and how often they are
	// asked: a datagram may be lost, and a VM that was killed never answers.
	streamAnswerWait = 40 * time.Millisecond
	streamAskRounds  = 2
	// startupWait bounds the wait of callers for what this process learns at its start: the time
	// of a few calls to the store.
	startupWait = 300 * time.Millisecond
	// pullWait is how long a process that starts waits for the records of its peers before it
	// reads those in the store.
	pullWait = 100 * time.Millisecond
	// tableInterval is how often expired records are dropped.
	tableInterval = time.Second
)

// StreamVersionsOptions configures a StreamVersions.
type StreamVersionsOptions struct {
	Address string // of this process
	Socket  *Socket
	Peers   func() []string // addresses of the other entry VMs
	Known   <-chan struct{} // closed once the other entry VMs are known
	// AddedAround reports whether VMs were added at about a time, so that they may have differed in
	// which VMs there are; nil: never.
	AddedAround func(at time.Time) bool
	Directory   *directory.Directory
	// ReadList reads the list of servers by a request that is sent after the call.
	ReadList  func(ctx context.Context) error
	Baselines *Baselines // what a VM that starts is told beside the records
	// Store keeps records beyond the loss of all VMs; nil: nothing does.
	Store    VersionStore
	Recorder *event.Recorder
	Metrics  prometheus.Registerer
}

// StreamVersions lets entry VMs share which version of the servers' software began each
// stream.
//
// While a service has had a single version nothing is sent, and a few VMs store which one it
// is. From the moment at which a second one is listed, a VM tells the record of each of its
// streams to a few others before the stream's first event leaves, and keeps its records in the
// store, which matters when all VMs are lost. A VM without a record that would hold it, had the
// stream begun since then, knows that the stream began before.
type StreamVersions struct {
	opts    StreamVersionsOptions
	table   *streamversion.Table
	history *streamversion.History
	rows    *versionRows
	metrics streamVersionMetrics

	loaded     chan struct{} // closed when it is known what served before this process started
	loadedOnce sync.Once

	mu      sync.Mutex
	waiting map[streamversion.Key]map[*versionQuery]struct{} // queries in progress
}

// NewStreamVersions returns a StreamVersions.
func NewStreamVersions(opts StreamVersionsOptions) *StreamVersions {
	v := &StreamVersions{
		opts: opts, table: streamversion.NewTable(), history: streamversion.NewHistory(), loaded: make(chan struct{}),
		waiting: map[streamversion.Key]map[*versionQuery]struct{}{}, metrics: newStreamVersionMetrics(opts.Metrics),
	}
	v.rows = newVersionRows(v)
	opts.Directory.OnApplied(v.observe)
	opts.Socket.onRegained = v.pull
	opts.Socket.handle(kindStreamRecords, v.receiveRecords)
	opts.Socket.handle(kindStreamQuery, v.receiveQuery)
	opts.Socket.handle(kindStreamAnswer, v.receiveAnswer)
	opts.Socket.handle(kindStreamPull, v.receivePull)
	opts.Socket.handle(kindServedVersions, v.receiveServed)
	return v
}

// Run learns the records of others, and keeps those of this process until ctx ends.
func (v *StreamVersions) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return v.rows.run(ctx) })
	group.Go(func() error {
		v.load(ctx)
		for retry.Wait(ctx, tableInterval) == nil {
			v.metrics.records.Set(float64(v.table.Expire(time.Now())))
		}
		return ctx.Err()
	})
	return group.Wait()
}

// load learns what other VMs and the store know. A peer that knows which versions served
// before this process started saves the call to the store.
func (v *StreamVersions) load(ctx context.Context) {
	v.await(ctx, v.opts.Known, pullWait)
	for tries := 0; ctx.Err() == nil; tries++ {
		if len(v.opts.Peers()) > 0 {
			v.pull()
			v.await(ctx, v.loaded, pullWait)
		}
		if v.history.Complete() {
			return
		}
		if v.rows.load(ctx) == nil {
			v.setComplete(time.Now())
			return
		}
		_ = retry.Wait(ctx, retry.BackoffBetween(retryPause, maxPause, tries))
	}
}

// pull asks the other VMs for the records that this one would hold.
func (v *StreamVersions) pull() { v.opts.Socket.SendTo(body{kindStreamPull, nil}, v.opts.Peers()) }

// await waits until a channel is closed, but not for long.
func (v *StreamVersions) await(ctx context.Context, closed <-chan struct{}, atMost time.Duration) {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// AwaitLoaded waits until it is known what served before this process started, but not for long.
func (v *StreamVersions) AwaitLoaded(ctx context.Context) { v.await(ctx, v.loaded, startupWait) }

// setComplete records that it is known what served before this process started.
func (v *StreamVersions) setComplete(now time.Time) {
	v.history.SetComplete(now)
	v.loadedOnce.Do(func() { close(v.loaded) })
}

// observe is called with each list of servers. When a second version appears, the streams
// in progress are told to others: they have begun without a record there.
func (v *StreamVersions) observe(view *directory.View) {
	now := time.Now()
	for _, name := range view.Services() {
		service := directory.Hash(name)
		if v.history.Observe(service, view.Versions(name), now) {
			v.publishOwn(service, now)
		}
	}
	v.rows.observe(now)
}

func (v *StreamVersions) publishOwn(service uint32, now time.Time) {
	v.publish(v.table.Select(now, func(r streamversion.Record) bool { return r.Own && r.Service == service }))
	v.rows.markChanged()
}

// Record implements exchange.StreamVersions. Other VMs have been told when it returns.
func (v *StreamVersions) Record(service string, stream uint64, version string, until time.Time) {
	now := time.Now()
	r := streamversion.Record{Key: streamversion.Key{Service: directory.Hash(service), Stream: stream}, Version: version, Until: until, Own: true}
	if !v.table.Put(r, now) {
		v.metrics.dropped.Inc()
	}
	if v.history.Mixed(r.Service, now) {
		v.publish([]streamversion.Record{r})
		v.rows.markChanged()
	}
}

// publish sends records to the VMs that hold them.
func (v *StreamVersions) publish(records []streamversion.Record) {
	v.sendRecords(records, func(r streamversion.Record) []string { return v.holders(r.Stream, streamReplicas) })
}

// holders returns the first VMs but this one in the order in which they hold a stream's
// record; at a small site all.
func (v *StreamVersions) holders(stream uint64, count int) []string {
	peers := v.opts.Peers()
	if len(peers)+1 <= smallSite {
		return peers
	}
	return firstHolders(stream, peers, count)
}

// isHolder reports whether this VM gets the record of a stream from any VM that serves it.
func (v *StreamVersions) isHolder(stream uint64) bool { return v.holds(v.opts.Address, stream) }

// holds reports whether a VM gets the record of a stream from any VM that serves it.
func (v *StreamVersions) holds(address string, stream uint64) bool {
	peers := v.opts.Peers()
	if len(peers)+1 <= smallSite {
		return true
	}
	return slices.Contains(firstHolders(stream, append(slices.Clone(peers), v.opts.Address), streamReplicas), address)
}

// firstHolders returns the first addresses in the order in which VMs hold a stream's record.
// Each stream has an order of its own, which changes little when VMs are added or removed.
func firstHolders(stream uint64, addresses []string, count int) []string {
	type ranked struct {
		address string
		rank    uint64
	}
	first := make([]ranked, 0, count+1)
	var buf []byte
	for _, a := range addresses {
		buf = append(binary.BigEndian.AppendUint64(buf[:0], stream), a...)
		r := ranked{a, xxhash.Sum64(buf)}
		i, _ := slices.BinarySearchFunc(first, r, func(x, y ranked) int { return cmp.Compare(x.rank, y.rank) })
		if i < count {
			first = slices.Insert(first, i, r)
			first = first[:min(len(first), count)]
		}
	}
	sorted := make([]string, len(first))
	for i, r := range first {
		sorted[i] = r.address
	}
	return sorted
}

// streamVersionMetrics are the metrics of a StreamVersions.
type streamVersionMetrics struct {
	found   *prometheus.CounterVec // by how
	records prometheus.Gauge
	dropped prometheus.Counter
	saves   *prometheus.CounterVec // by result
}

func newStreamVersionMetrics(reg prometheus.Registerer) streamVersionMetrics {
	m := streamVersionMetrics{
		found: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_stream_versions_found_total", Help: "Streams of callers that came back, by how it became known which version of the servers' software began them; unknown: it did not."}, []string{"how"}),
		records: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pearyard_stream_versions", Help: "Streams of which this process knows the version that began them."}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_stream_versions_dropped_total", Help: "Streams whose version was not recorded, since there were too many."}),
		saves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_stream_versions_saves_total", Help: "Writes of the versions of this process's streams to the store by result."}, []string{"result"}),
	}
	if reg != nil {
		reg.MustRegister(m.found, m.records, m.dropped, m.saves)
	}
	return m
}

// StoreReturned tells that the store has come back from a copy, which may lack this process's
// row.
func (v *StreamVersions) StoreReturned() { v.rows.storeReturned() }
