package fleet

import (
	"context"
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/pearyard/pearyard/rollout"
	"github.com/pearyard/pearyard/types"
)

const (
	// rolloutInterval is how often reports and notices on roll-outs are sent.
	rolloutInterval = 400 * time.Millisecond
	// outcomeInterval is how often outcomes are repeated, for VMs that have just started.
	outcomeInterval = 2 * time.Second
	// minRolloutInterval is the shortest time between two notices: a phase that has changed
	// is told at once.
	minRolloutInterval = 50 * time.Millisecond
)

// Rollouts tells the deciders what this process has observed of roll-outs, and the others
// what it has decided as a decider.
//
// Reports go to the deciders alone, so that their number doesn't grow with the square of
// the number of VMs. Notices go to all.
type Rollouts struct {
	socket     *Socket
	election   *Election
	controller *rollout.Controller

	mu      sync.Mutex
	senders map[string]header // of the newest report, by sender
}

// NewRollouts returns a Rollouts that communicates through a socket.
func NewRollouts(socket *Socket, election *Election, controller *rollout.Controller) *Rollouts {
	r := &Rollouts{socket: socket, election: election, controller: controller, senders: map[string]header{}}
	socket.handle(kindRolloutReport, r.receiveReport)
	socket.handle(kindRolloutNotice, r.receiveNotice)
	return r
}

// Run sends reports and notices until ctx ends.
func (r *Rollouts) Run(ctx context.Context) error {
	tick := time.NewTicker(rolloutInterval)
	defer tick.Stop()
	var told []rollout.Notice
	var toldAt time.Time
	for {
		var soon <-chan time.Time
		if r.controller.InProgress() {
			soon = time.After(minRolloutInterval)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			r.report()
		case <-soon:
		}
		if r.election.DeciderRank() < 0 {
			continue
		}
		interval := rolloutInterval
		if soon == nil {
			interval = outcomeInterval
		}
		notices := r.controller.Notices()
		if len(notices) > 0 && (time.Since(toldAt) >= interval || !slices.Equal(notices, told)) {
			r.socket.Send(encodeNotices(notices))
			told, toldAt = notices, time.Now()
		}
	}
}

func (r *Rollouts) report() {
	reports := r.controller.Reports()
	if len(reports) == 0 {
		return
	}
	deciders := r.election.Deciders()
	for _, report := range reports {
		r.socket.SendTo(encodeReport(report), deciders)
	}
}

// receiveReport handles a report. The one of a service does not replace that of another,
// so only reports that were sent before the newest one are dropped.
func (r *Rollouts) receiveReport(from string, h header, raw []byte, _ time.Time) bool {
	report, ok := decodeReport(raw)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.senders[from]; !h.newerThan(known) {
		return true
	}
	r.senders[from] = h
	r.controller.ReceiveReport(from, h.incarnation, report)
	return true
}

func (r *Rollouts) receiveNotice(from string, _ header, raw []byte, now time.Time) bool {
	notices, ok := decodeNotices(raw)
	for _, n := range notices {
		if outcome, unknown := r.controller.ReceiveNotice(from, n, now); unknown {
			r.socket.SendTo(encodeNotices([]rollout.Notice{outcome}), []string{from})
		}
	}
	return ok
}

// noticeBytes is the length of a notice: service (4), position of the order (8), phase (1).
const noticeBytes = 13

func encodeNotices(list []rollout.Notice) body {
	list = list[:min(len(list), (maxDatagram-headerBytes)/noticeBytes)]
	out := make([]byte, 0, len(list)*noticeBytes)
	for _, n := range list {
		out = binary.BigEndian.AppendUint32(out, n.Service)
		out = binary.BigEndian.AppendUint64(out, uint64(n.Position))
		out = append(out, byte(n.Phase))
	}
	return body{kindRolloutNotice, out}
}

func decodeNotices(raw []byte) ([]rollout.Notice, bool) {
	if len(raw)%noticeBytes != 0 {
		return nil, false
	}
	list := make([]rollout.Notice, len(raw)/noticeBytes)
	for i := range list {
		at := raw[i*noticeBytes:]
		list[i] = rollout.Notice{Service: binary.BigEndian.Uint32(at), Position: types.Position(binary.BigEndian.Uint64(at[4:])), Phase: rollout.Phase(at[12])}
	}
	return list, true
}

// reportHeadBytes is the length of a report without its routes: service (4), position of
// the order (8), whether the version is known to be bad (1).
const reportHeadBytes = 13

// encodeReport encodes a report. Each route takes its hash (4) and the samples of the
// established versions and the new one: ended (2), failed (2), and three histograms, each as
// a bitmap of the buckets that aren't empty (2) and their counts (2 each). Routes that do
// not fit are left out.
func encodeReport(r rollout.Report) body {
	out := make([]byte, 0, maxDatagram-headerBytes)
	out = binary.BigEndian.AppendUint32(out, r.Service)
	out = binary.BigEndian.AppendUint64(out, uint64(r.Position))
	stopped := byte(0)
	if r.Stopped {
		stopped = 1
	}
	out = append(out, stopped)
	for route, c := range r.Evidence {
		encoded := binary.BigEndian.AppendUint32(nil, route)
		encoded = appendSample(encoded, &c.Established)
		encoded = appendSample(encoded, &c.New)
		if len(out)+len(encoded) <= maxDatagram-headerBytes {
			out = append(out, encoded...)
		}
	}
	return body{kindRolloutReport, out}
}

func appendSample(out []byte, s *rollout.Sample) []byte {
	out = appendCount(out, s.Ended)
	out = appendCount(out, s.Failed)
	out = appendHistogram(out, &s.First)
	out = appendHistogram(out, &s.Pace)
	return appendHistogram(out, &s.Pending)
}

func appendCount(out []byte, n uint32) []byte {
	return binary.BigEndian.AppendUint16(out, uint16(min(n, math.MaxUint16)))
}

func appendHistogram(out []byte, h *rollout.Histogram) []byte {
	var filled uint16
	for i, n := range h {
		if n > 0 {
			filled |= 1 << i
		}
	}
	out = binary.BigEndian.AppendUint16(out, filled)
	for _, n := range h {
		if n > 0 {
			out = appendCount(out, n)
		}
	}
	return out
}

func decodeReport(raw []byte) (rollout.Report, bool) {
	if len(raw) < reportHeadBytes {
		return rollout.Report{}, false
	}
	r := rollout.Report{
		Service: binary.BigEndian.Uint32(raw), Position: types.Position(binary.BigEndian.Uint64(raw[4:])), Stopped: raw[12] != 0, Evidence: rollout.Evidence{},
	}
	in := reader{raw: raw[reportHeadBytes:], ok: true}
	for len(in.raw) > 0 && in.ok {
		route := in.uint32()
		c := &rollout.Comparison{}
		in.sample(&c.Established)
		in.sample(&c.New)
		r.Evidence[route] = c
	}
	return r, in.ok
}

func (in *reader) count() uint32 { return uint32(binary.BigEndian.Uint16(in.take(2))) }

func (in *reader) sample(s *rollout.Sample) {
	s.Ended = in.count()
	s.Failed = min(in.count(), s.Ended)
	in.histogram(&s.First)
	in.histogram(&s.Pace)
	in.histogram(&s.Pending)
}

func (in *reader) histogram(h *rollout.Histogram) {
	for filled := uint16(in.count()); filled != 0; filled &= filled - 1 {
		h[bits.TrailingZeros16(filled)] = in.count()
	}
}
