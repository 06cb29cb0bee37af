package suspect

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
	"github.com/pearyard/pearyard/types"
)

// Handler serves the ledger to peers, under PathPrefix.
func (l *Ledger) Handler() http.Handler { return suspectpb.NewSuspectsServer(server{l}) }

// PathPrefix is where Handler must be mounted.
const PathPrefix = suspectpb.SuspectsPathPrefix

// Server returns the ledger as its peers call it, without HTTP between.
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
	if in.GetLedger() != s.ledger.life {
		since = 0 // this ledger began anew; its numbers mean something else
	}
	entries, next := s.ledger.Deltas(since)
	return &suspectpb.ExchangeResponse{Entries: toWire(entries), Next: next, Ledger: s.ledger.life}, nil
}

// Grant implements suspectpb.Suspects.
func (s server) Grant(_ context.Context, in *suspectpb.GrantRequest) (*suspectpb.GrantResponse, error) {
	if in.GetHolder() == "" {
		return nil, twirp.RequiredArgumentError("holder")
	}
	granted, wait := s.ledger.home.decide(request{
		fp: types.Fingerprint(in.GetFingerprint()), holder: in.GetHolder(), running: in.GetRunning(), release: in.GetRelease(),
	}, s.ledger.opts.Now())
	return &suspectpb.GrantResponse{Granted: granted, RetryAfterNano: int64(wait)}, nil
}

func toWire(entries []Entry) []*suspectpb.Entry {
	out := make([]*suspectpb.Entry, len(entries))
	for i, e := range entries {
		out[i] = &suspectpb.Entry{Fingerprint: uint64(e.Fingerprint), QuarantinedUntilUnixNano: toNano(e.Until)}
		for _, d := range e.Deaths {
			out[i].Deaths = append(out[i].Deaths, &suspectpb.Death{Id: d.ID, AtUnixNano: toNano(d.At), Cleared: d.Cleared})
		}
	}
	return out
}

func fromWire(entries []*suspectpb.Entry) []Entry {
	out := make([]Entry, len(entries))
	for i, e := range entries {
		out[i] = Entry{Fingerprint: types.Fingerprint(e.GetFingerprint()), Until: fromNano(e.GetQuarantinedUntilUnixNano())}
		for _, d := range e.GetDeaths() {
			out[i].Deaths = append(out[i].Deaths, Death{ID: d.GetId(), At: fromNano(d.GetAtUnixNano()), Cleared: d.GetCleared()})
		}
	}
	return out
}

func toNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
