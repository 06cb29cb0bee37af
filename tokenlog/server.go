package tokenlog

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/pearyard/pearyard/rpc/journal"
)

type server struct{ store *Store }

// NewServer returns an RPC server for the store's Read, to be mounted with
// journalpb.NewJournalServer.
func NewServer(store *Store) journalpb.Journal { return server{store: store} }

// Read implements journalpb.Journal.
func (s server) Read(_ context.Context, in *journalpb.ReadRequest) (*journalpb.ReadResponse, error) {
	out, err := s.store.Read(in)
	if err != nil {
		return nil, twirp.InvalidArgumentError("generation", err.Error())
	}
	return out, nil
}
