package order

import (
	"context"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/rpc/order"
)

// ErrFailed reports that the engine answered an order with an error, or not at
// all.
var ErrFailed = errors.New("order: not executed by the engine")

type server struct{ guard *Guard }

// NewServer returns the twirp service of a guard, for orderpb.NewOrdersServer.
func NewServer(guard *Guard) orderpb.Orders { return server{guard: guard} }

// Take implements orderpb.Orders.
func (s server) Take(ctx context.Context, in *orderpb.Order) (*orderpb.OrderReply, error) {
	err := s.guard.Order(ctx, engine.Order{
		Kind: engine.OrderKind(in.GetKind()), Name: in.GetName(), Version: in.GetVersion(), Fence: in.GetFence(),
	})
	switch {
	case err == nil:
		return &orderpb.OrderReply{Status: orderpb.OrderStatus_ORDER_TAKEN}, nil
	case errors.Is(err, engine.ErrStaleFence):
		return &orderpb.OrderReply{Status: orderpb.OrderStatus_ORDER_STALE_FENCE, Message: err.Error()}, nil
	case errors.Is(err, ErrFenceUnknown):
		return &orderpb.OrderReply{Status: orderpb.OrderStatus_ORDER_FENCE_UNKNOWN, Message: err.Error()}, nil
	default:
		return &orderpb.OrderReply{Status: orderpb.OrderStatus_ORDER_FAILED, Message: err.Error()}, nil
	}
}

// Loaded implements orderpb.Orders.
func (s server) Loaded(ctx context.Context, _ *orderpb.LoadedRequest) (*orderpb.LoadedReply, error) {
	loaded, err := s.guard.Loaded(ctx)
	if err != nil {
		return nil, err
	}
	out := &orderpb.LoadedReply{}
	for _, l := range loaded {
		out.Loaded = append(out.Loaded, &orderpb.Order{Kind: string(l.Kind), Name: l.Name, Version: l.Version, Fence: l.Fence})
	}
	return out, nil
}

type client struct {
	connect func(addr string) orderpb.Orders
}

// NewClient returns a Sidecar that uses twirp. connect returns the client for an
// address, for example orderpb.NewOrdersProtobufClient with the process's peer
// client.
func NewClient(connect func(addr string) orderpb.Orders) Sidecar { return client{connect: connect} }

// Order implements Sidecar.
func (c client) Order(ctx context.Context, addr string, o engine.Order) error {
	reply, err := c.connect(addr).Take(ctx, &orderpb.Order{Kind: string(o.Kind), Name: o.Name, Version: o.Version, Fence: o.Fence})
	if err != nil {
		return errors.Wrapf(err, "send order %q to %s", describe(o), addr)
	}
	switch reply.GetStatus() {
	case orderpb.OrderStatus_ORDER_TAKEN:
		return nil
	case orderpb.OrderStatus_ORDER_STALE_FENCE:
		return engine.ErrStaleFence
	case orderpb.OrderStatus_ORDER_FENCE_UNKNOWN:
		return errors.Wrap(ErrFenceUnknown, reply.GetMessage())
	default:
		return errors.Wrap(ErrFailed, reply.GetMessage())
	}
}

// Loaded implements Sidecar.
func (c client) Loaded(ctx context.Context, addr string) ([]engine.Loaded, error) {
	reply, err := c.connect(addr).Loaded(ctx, &orderpb.LoadedRequest{})
	if err != nil {
		return nil, errors.Wrapf(err, "read what %s has loaded", addr)
	}
	out := make([]engine.Loaded, 0, len(reply.GetLoaded()))
	for _, l := range reply.GetLoaded() {
		out = append(out, engine.Loaded{Kind: engine.OrderKind(l.GetKind()), Name: l.GetName(), Version: l.GetVersion(), Fence: l.GetFence()})
	}
	return out, nil
}
