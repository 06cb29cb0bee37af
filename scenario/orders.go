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

// served implements `served MODEL VERSION`, which waits until each running engine serves
// that version of the model and no other.
func (h *harness) served(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: served MODEL VERSION")
	}
	want := []string{args[1]}
	return waitFor(conditionTimeout, "served "+args[0]+" "+args[1], func() bool {
		for i := range h.site.spec.engines {
			if !h.site.processes[engineName(i+1)].running() {
				continue
			}
			var loaded []engine.Loaded
			if getJSON("http://"+h.site.address(fromHarness, engineName(i+1))+"/v1/loaded", &loaded) != nil {
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

// holder implements `holder NAME`, which waits until a router without an alias holds the
// lease for sending orders, and sets NAME as its alias. A second use of the command
// therefore finds the next holder.
func (h *harness) holder(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: holder NAME")
	}
	return waitFor(conditionTimeout, "a router that holds the lease", func() bool {
		for i := range h.site.spec.routers {
			name := routerName(i + 1)
			var dump lease.Dump
			if h.hasAlias(name) || h.site.readSection(name, "lease", &dump) != nil || !dump.Held {
				continue
			}
			h.aliases[args[0]] = name
			return true
		}
		return false
	})
}

func (h *harness) hasAlias(process string) bool {
	for _, name := range h.aliases {
		if name == process {
			return true
		}
	}
	return false
}

// order implements `order taken|stale SIDECAR VERSION FENCE`, which sends an order to load
// the model, as a router would that believes it holds the lease with this fencing number.
// The sidecar must accept it (taken) or reject it as stale.
func (h *harness) order(ts *testscript.TestScript, args []string) error {
	if len(args) != 4 {
		return errors.New("usage: order taken|stale SIDECAR VERSION FENCE")
	}
	fence, err := parseValue(args[3])
	if err != nil {
		return err
	}
	client := order.NewClient(func(addr string) orderpb.Orders {
		return orderpb.NewOrdersProtobufClient("http://"+addr, &http.Client{Timeout: conditionTimeout})
	})
	err = client.Order(h.ctx, h.site.address(fromPeers, args[1]), engine.Order{
		Kind: engine.OrderLoadModel, Name: h.site.config.Models[0].Name, Version: args[2], Fence: uint64(fence),
	})
	if stale := errors.Is(err, engine.ErrStaleFence); stale == (args[0] == "stale") && (stale || err == nil) {
		return nil
	}
	return errors.Errorf("order to %s to load version %s, fence %s: want %s, got error %v", args[1], args[2], args[3], args[0], err)
}
