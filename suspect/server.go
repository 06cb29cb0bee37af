package suspect

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
	"github.com/pearyard/pearyard/types"
)

// Handler returns the HTTP handler through which peers call the ledger. It must be
// mounted under PathPrefix.
func (l *Ledger) Handler() http.Handler { return suspectpb.NewSuspectsServer(server{l}) }

// PathPrefix is the path prefix of Handler.
const PathPrefix = suspectpb.SuspectsPathPrefix

// Server returns the service that Handler serves, for calls without HTTP.
func (l *Ledger) Server() suspectpb.Suspects { return server{l} }

type server struct{ ledger *Ledger }

// Exchange implements suspectpb.Suspects.
func (s server) Exchange(_ context.Context, in *suspectpb.ExchangeRequest) (*suspectpb.ExchangeResponse, error) {
	if len(in.GetEntries()) > s.ledger.opts.Max {
		return nil, twirp.InvalidArgumentError("entries", "more than the ledger holds")
	}
	s.ledger.Merge(fromWire(in.GetEntries()))
	if !in.GetPull() {
		return &suspectpb.ExchangeResponse{}, nil
	}
	since := in.GetSince()
	if in.GetLedger() != s.ledger.instance {
		since = 0 // the sequence number is that of another ledger, from before a restart
	}
	entries, next := s.ledger.Deltas(since)
	return &suspectpb.ExchangeResponse{Entries: toWire(entries), Next: next, Ledger: s.ledger.instance}, nil
}

// Grant implements suspectpb.Suspects.
func (s server) Grant(_ context.Context, in *suspectpb.GrantRequest) (*suspectpb.GrantResponse, error) {
	if in.GetHolder() == "" {
		return nil, twirp.RequiredArgumentError("holder")
	}
	granted, wait := s.ledger.coordinator.handle(grantRequest{
		fp: types.Fingerprint(in.GetFingerprint()), holder: in.GetHolder(), running: in.GetRunning(), release: in.GetRelease(),
	}, s.ledger.opts.Now())
	return &suspectpb.GrantResponse{Granted: granted, RetryAfterNano: int64(wait)}, nil
}

func toWire(entries []Entry) []*suspectpb.Entry {
	out := make([]*suspectpb.Entry, len(entries))
	for i, e := range entries {
		out[i] = &suspectpb.Entry{Fingerprint: uint64(e.Fingerprint), QuarantinedUntilUnixNano: toNano(e.Until)}
		for _, d := range e.Deaths {
			death := &suspectpb.Death{Id: d.ID, AtUnixNano: toNano(d.At), Cleared: d.Cleared, Excuse: string(d.Excuse)}
			if d.Excuse == NoExcuse {
				out[i].Deaths = append(out[i].Deaths, death)
			} else {
				out[i].Excused = append(out[i].Excused, death)
			}
		}
	}
	return out
}

func fromWire(entries []*suspectpb.Entry) []Entry {
	out := make([]Entry, len(entries))
	for i, e := range entries {
		out[i] = Entry{Fingerprint: types.Fingerprint(e.GetFingerprint()), Until: fromNano(e.GetQuarantinedUntilUnixNano())}
		for _, d := range slices.Concat(e.GetDeaths(), e.GetExcused()) {
			out[i].Deaths = append(out[i].Deaths, Death{ID: d.GetId(), At: fromNano(d.GetAtUnixNano()), Cleared: d.GetCleared(), Excuse: Excuse(d.GetExcuse())})
		}
	}
	return out
}

// toNano returns t in Unix nanoseconds, and 0 for the zero time.
func toNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromNano is the inverse of toNano.
func fromNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
