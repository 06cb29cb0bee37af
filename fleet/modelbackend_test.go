package fleet

import (
	"context"
	"io"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/promptcache"
)

// modelBackend has the parts of an exchange.Backend that the models of servers don't need:
// servers are alive, have no prompts cached and make no copies.
type modelBackend struct{}

// Probe implements exchange.Backend.
func (modelBackend) Probe(context.Context, *directory.Server) (int64, error) { return 0, nil }

// CachedPrompts implements exchange.Backend.
func (modelBackend) CachedPrompts(context.Context, *directory.Server) (promptcache.Contents, error) {
	return nil, nil
}

// Free implements exchange.Backend.
func (modelBackend) Free(context.Context, *exchange.KVCopy) error { return nil }

// Copy implements exchange.Backend.
func (modelBackend) Copy(context.Context, *exchange.Request, *directory.Server, *directory.Server) (*exchange.KVCopy, error) {
	return nil, io.ErrClosedPipe
}
