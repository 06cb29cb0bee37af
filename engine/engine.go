package engine

import (
	"context"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/types"
)

var (
	// ErrRefused: the engine did not start the request (full, no such model, or not
	// reachable).
	ErrRefused = errors.New("engine: request refused")
	// ErrConnectionLost: the connection broke after the request was handed over.
	ErrConnectionLost = errors.New("engine: connection lost")
	// ErrStaleFence: the engine refused an order with an old fencing number.
	ErrStaleFence = errors.New("engine: fencing number is old")
)

// Request asks for the continuation of Prompt and Emitted by at most MaxTokens
// new tokens. If Emitted is empty, it starts a new generation. Cancelling the
// context cancels the request in the engine.
type Request struct {
	ID        string        `json:"id"`
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Emitted   []types.Token `json:"emitted,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Priority  int           `json:"priority"` // a request with a higher number runs first
}

// Result describes a generation that the engine finished.
type Result struct {
	Finish          types.FinishReason `json:"finish"`
	PrefilledTokens int                `json:"prefilled_tokens"` // prompt and emitted tokens not found in the prefix cache
}

// CacheEvent reports that a block was added to the prefix cache or evicted from it.
// Events may be delayed or lost; gaps in Sequence show the lost ones.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"` // hash of the prefix up to and including the block
	Evicted  bool   `json:"evicted"`
}

// OrderKind is the kind of an Order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderUnload      OrderKind = "unload" // unloads a model or adapter
	OrderRole        OrderKind = "role"   // sets the engine's role to the order's Name
)

// Order changes what an engine serves. Fence is the order's fencing number. Engines
// that check fencing numbers refuse one smaller than the largest one that they have
// seen; others ignore it.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Name    string    `json:"name"`
	Version string    `json:"version"`
	Fence   uint64    `json:"fence"`
}

// Loaded is one model or adapter version that an engine serves, or its role.
type Loaded struct {
	Kind    OrderKind `json:"kind"`
	Name    string    `json:"name"`
	Version string    `json:"version"`
	Fence   uint64    `json:"fence"` // of the order that loaded it; 0 if the engine doesn't record it
}

// Engine is a model engine. Generate calls emit for each new token, in order; an
// error from emit ends the generation and is returned. CacheEvents returns the events
// after sequence number since.
type Engine interface {
	Generate(ctx context.Context, req Request, emit func(types.Token) error) (Result, error)
	Load(ctx context.Context) (types.Load, error)
	CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error)
	Order(ctx context.Context, order Order) error
	Loaded(ctx context.Context) ([]Loaded, error)
	Healthy(ctx context.Context) error
}
