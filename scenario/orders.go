package scenario

import (
	"net/http"
	"slices"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/lease"
	"github.com/pearyard/pearyard/order"
	orderpb "github.com/pearyard/pearyard/rpc/order"
)

// served: served MODEL VERSION; waits until each engine that runs serves that
// version of the model and no other
func (b *bench) served(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("served MODEL VERSION")
	}
	want := []string{args[1]}
	return await(conditionTimeout, "served "+args[0]+" "+args[1], func() bool {
		for i := range b.site.size.engines {
			if !b.site.processes[engineName(i+1)].running() {
				continue
			}
			var loaded []engine.Loaded
			if getJSON("http://"+b.site.at(fromHarness, engineName(i+1))+"/v1/loaded", &loaded) != nil {
				return false
			}
			var versions []string
			for _, l := range loaded {
				if l.Name == args[0] {
					versions = append(versions, l.Version)
				}
			}
			if !slices.Equal(versions, want) {
				return false
			}
		}
		return true
	})
}

// holder: holder NAME; names the router that holds the lease under which orders
// are given, other than those named so before
func (b *bench) holder(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("holder NAME")
	}
	return await(conditionTimeout, "a holder of the lease", func() bool {
		for i := range b.site.size.routers {
			name := routerName(i + 1)
			var now lease.Dump
			if b.given(name) || b.site.dump(name, "lease", &now) != nil || !now.Held {
				continue
			}
			b.names[args[0]] = name
			return true
		}
		return false
	})
}

func (b *bench) given(process string) bool {
	for _, name := range b.names {
		if name == process {
			return true
		}
	}
	return false
}

// order: order taken|stale SIDECAR VERSION FENCE; gives an order to load the
// model, as a router would that believes to hold the lease under this number
func (b *bench) order(ts *testscript.TestScript, args []string) error {
	if len(args) != 4 {
		return errors.New("order taken|stale SIDECAR VERSION FENCE")
	}
	fence, err := parseNumber(args[3])
	if err != nil {
		return err
	}
	client := order.NewClient(func(addr string) orderpb.Orders {
		return orderpb.NewOrdersProtobufClient("http://"+addr, &http.Client{Timeout: conditionTimeout})
	})
	err = client.Order(b.ctx, b.site.at(fromPeers, args[1]), engine.Order{
		Kind: engine.OrderLoadModel, Name: b.site.text.Models[0].Name, Version: args[2], Fence: uint64(fence),
	})
	if stale := errors.Is(err, engine.ErrStaleFence); stale == (args[0] == "stale") && (stale || err == nil) {
		return nil
	}
	return errors.Errorf("not %s: %v", args[0], err)
}
