package fleet

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/streamversion"
)

// How it becomes known which version began a stream, in log lines and metrics.
const (
	foundHere    = "record"       // this process has the record
	foundByPeer  = "peer"         // another VM has it
	foundInStore = "store"        // the store has it
	foundSole    = "sole_version" // no other version has served
	foundBefore  = "before"       // it began before the second version appeared
	foundNowhere = "unknown"
)

// versionQuery is a query for the version of one stream to other VMs.
type versionQuery struct {
	asked   int
	answers chan versionAnswer
}

// versionAnswer is what one VM knows of a stream.
type versionAnswer struct {
	version  string
	known    bool // by a record
	inferred bool // the VM would hold the record of a stream that another version began
}

// Find implements exchange.StreamVersions.
func (v *StreamVersions) Find(ctx context.Context, service string, stream uint64, maxAge time.Duration) (version, how string, ok bool) {
	k := streamversion.Key{Service: directory.Hash(service), Stream: stream}
	version, how = v.find(ctx, k, maxAge)
	v.metrics.found.WithLabelValues(how).Inc()
	return version, how, how != foundNowhere
}

func (v *StreamVersions) find(ctx context.Context, k streamversion.Key, maxAge time.Duration) (version, how string) {
	if r, known := v.table.Get(k, time.Now()); known {
		return r.Version, foundHere
	}
	v.await(ctx, v.loaded, startupWait)
	listRead := v.readListIfSole(ctx, k, maxAge)
	answer, answered := v.askPeers(ctx, k, maxAge)
	if answer.known {
		return answer.version, foundByPeer
	}
	current := <-listRead
	// What others sent before their answers has been received by now.
	if r, known := v.table.Get(k, time.Now()); known {
		return r.Version, foundHere
	}
	if inferred, ok := v.inferHere(k, maxAge, answered, current); ok && (!answer.inferred || answer.version == inferred.Version) {
		return inferred.Version, howInferred(inferred)
	}
	if answer.inferred && v.mayHaveBegun(k.Service, answer.version) {
		return answer.version, foundBefore
	}
	if v.rows.load(ctx) == nil {
		if r, known := v.table.Get(k, time.Now()); known {
			return r.Version, foundInStore
		}
	}
	return "", foundNowhere
}

// readListIfSole reads the list of servers if a single version is known to have served. The
// channel tells whether the list in force then holds all servers that were listed at the call.
func (v *StreamVersions) readListIfSole(ctx context.Context, k streamversion.Key, maxAge time.Duration) <-chan bool {
	current := make(chan bool, 1)
	if inferred, ok := v.history.Infer(k.Service, maxAge, time.Now()); !ok || inferred.Before {
		current <- false
		return current
	}
	go func() { current <- v.opts.ReadList(ctx) == nil }()
	return current
}

// membersKnown reports whether all VMs knew of each other when a stream of another version than the
// inferred one can have begun. Else its record may have been told to other VMs than those that take
// themselves for its holders.
func (v *StreamVersions) membersKnown(inferred streamversion.Inference, now time.Time) bool {
	since := now
	if inferred.Before {
		since = inferred.MixedSince
	}
	return v.opts.AddedAround == nil || !v.opts.AddedAround(since)
}

func howInferred(i streamversion.Inference) string {
	if i.Before {
		return foundBefore
	}
	return foundSole
}

// mayHaveBegun reports whether a version is known here to have served.
func (v *StreamVersions) mayHaveBegun(service uint32, version string) bool {
	for _, l := range v.history.Served(time.Now()) {
		if l.Service == service && l.Version == version {
			return true
		}
	}
	return false
}

// inferHere infers the version of a stream without a record from the versions that have
// served. That another version began the stream is ruled out if no other one is in a list
// which was read after its caller came back, or if a VM that has answered would hold the
// record. It isn't by the word of this VM alone: it may have been cut off from the others.
func (v *StreamVersions) inferHere(k streamversion.Key, maxAge time.Duration, answered, current bool) (streamversion.Inference, bool) {
	inferred, ok := v.history.Infer(k.Service, maxAge, time.Now())
	if !ok {
		return inferred, false
	}
	if inferred.Before {
		return inferred, v.isHolder(k.Stream) && (answered || v.isAlone()) && v.membersKnown(inferred, time.Now())
	}
	return inferred, answered || current
}

// isAlone reports whether the registry, which has been read, names no other VM.
func (v *StreamVersions) isAlone() bool {
	select {
	case <-v.opts.Known:
		return len(v.opts.Peers()) == 0
	default:
		return false
	}
}

// askPeers asks the VMs that may hold the record of a stream. answered reports whether one of
// them would hold it, and does not.
func (v *StreamVersions) askPeers(ctx context.Context, k streamversion.Key, maxAge time.Duration) (answer versionAnswer, answered bool) {
	for range streamAskRounds {
		holders := v.holders(k.Stream, min(askedForStream, len(v.opts.Peers())))
		if len(holders) == 0 {
			return answer, false
		}
		answer, answered = v.askRound(ctx, k, maxAge, holders)
		if answer.known || answered || ctx.Err() != nil {
			break
		}
	}
	return answer, answered
}

func (v *StreamVersions) askRound(ctx context.Context, k streamversion.Key, maxAge time.Duration, holders []string) (answer versionAnswer, answered bool) {
	q := &versionQuery{asked: len(holders), answers: make(chan versionAnswer, len(holders))}
	v.addQuery(k, q)
	defer v.removeQuery(k, q)
	v.opts.Socket.SendTo(body{kindStreamQuery, appendStreamQuery(nil, k, maxAge)}, holders)
	timer := time.NewTimer(streamAnswerWait)
	defer timer.Stop()
	conflict := false
	for range holders {
		select {
		case a := <-q.answers:
			if a.known {
				return a, true
			}
			if a.inferred {
				conflict = conflict || answered && a.version != answer.version
				answer, answered = a, true
			}
		case <-timer.C:
			return answer, answered && !conflict
		case <-ctx.Done():
			return versionAnswer{}, false
		}
	}
	if conflict {
		return versionAnswer{}, false
	}
	return answer, answered
}

func (v *StreamVersions) addQuery(k streamversion.Key, q *versionQuery) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.waiting[k] == nil {
		v.waiting[k] = map[*versionQuery]struct{}{}
	}
	v.waiting[k][q] = struct{}{}
}

func (v *StreamVersions) removeQuery(k streamversion.Key, q *versionQuery) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if delete(v.waiting[k], q); len(v.waiting[k]) == 0 {
		delete(v.waiting, k)
	}
}

// receiveQuery answers which version began a stream, as far as it is known here. It asks
// nobody else. A VM that was out of touch infers nothing: it may have missed the record.
func (v *StreamVersions) receiveQuery(from string, _ header, raw []byte, now time.Time) bool {
	in := reader{raw: raw, ok: true}
	k, maxAge := in.streamKey(), time.Duration(in.uint16())*time.Second
	if !in.ok {
		return false
	}
	answer := versionAnswer{}
	if r, known := v.table.Get(k, now); known {
		answer = versionAnswer{version: r.Version, known: true}
	} else if inferred, ok := v.history.Infer(k.Service, maxAge, now); ok && v.isHolder(k.Stream) && v.membersKnown(inferred, now) && !v.opts.Socket.contact.lostWithin(maxAge, now) {
		answer = versionAnswer{version: inferred.Version, inferred: true}
	}
	v.opts.Socket.SendTo(body{kindStreamAnswer, appendStreamAnswer(nil, k, answer)}, []string{from})
	return true
}

func (v *StreamVersions) receiveAnswer(_ string, _ header, raw []byte, _ time.Time) bool {
	in := reader{raw: raw, ok: true}
	k, answer := in.streamKey(), in.streamAnswer()
	if !in.ok {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for q := range v.waiting[k] {
		select {
		case q.answers <- answer:
		default: // a VM has answered twice
		}
	}
	return true
}

// receiveRecords adds the records that another VM has sent.
func (v *StreamVersions) receiveRecords(_ string, _ header, raw []byte, now time.Time) bool {
	in := reader{raw: raw, ok: true}
	for len(in.raw) > 0 && in.ok {
		service, version := in.uint32(), in.text()
		for range in.byte() {
			stream, ttl := in.uint64(), in.uint16()
			if in.ok && !v.table.Put(streamversion.Record{Key: streamversion.Key{Service: service, Stream: stream}, Version: version, Until: now.Add(time.Duration(ttl) * time.Second)}, now) {
				v.metrics.dropped.Inc()
			}
		}
	}
	return in.ok
}

// receivePull sends a VM that has just started what it would hold, had it run before.
func (v *StreamVersions) receivePull(from string, _ header, _ []byte, now time.Time) bool {
	held := v.table.Select(now, func(r streamversion.Record) bool {
		return v.history.Mixed(r.Service, now) && v.holds(from, r.Stream)
	})
	v.sendRecords(held, func(streamversion.Record) []string { return []string{from} })
	v.opts.Baselines.sendTo([]string{from})
	for _, raw := range encodeServedVersions(v.history.Complete(), v.history.Served(now), now) {
		v.opts.Socket.SendTo(body{kindServedVersions, raw}, []string{from})
	}
	return true
}

// receiveServed merges the versions that another VM has seen.
func (v *StreamVersions) receiveServed(_ string, _ header, raw []byte, now time.Time) bool {
	in := reader{raw: raw, ok: true}
	complete := in.byte() != 0
	for len(in.raw) > 0 && in.ok {
		service, version, age := in.uint32(), in.text(), in.uint32()
		if in.ok && v.history.Merge(service, version, now.Add(-time.Duration(age)*time.Millisecond), now) {
			v.publishOwn(service, now)
		}
	}
	if in.ok && complete {
		v.setComplete(now)
	}
	return in.ok
}
