package order

import (
	"github.com/pearyard/pearyard/engine"
)

// Artefact is one model or adapter version, or a role, that a backend server
// should serve.
type Artefact struct {
	Kind    engine.OrderKind // OrderLoadModel, OrderLoadAdapter or OrderRole
	Name    string
	Version string
}

// Target is what the text asks of one backend server.
type Target struct {
	Address string // of its sidecar
	Service string
	Want    []Artefact
}

// stages is the order in which wants are met: an adapter needs its model, and a
// role what it serves.
var stages = []engine.OrderKind{engine.OrderLoadModel, engine.OrderLoadAdapter, engine.OrderRole}

// plan returns the next orders that bring an engine from loaded to the target:
// one stage at a time, and what isn't wanted is unloaded only when all that is
// wanted is there, so that a change of version never leaves the engine without
// both. With nothing wanted nothing is unloaded: an empty target is more likely
// a text in the making than a wish to serve nothing.
func plan(t Target, loaded []engine.Loaded) []engine.Order {
	for _, kind := range stages {
		if orders := missing(t, kind, loaded); len(orders) > 0 {
			return orders
		}
	}
	if len(t.Want) == 0 {
		return nil
	}
	return surplus(t, loaded)
}

func missing(t Target, kind engine.OrderKind, loaded []engine.Loaded) []engine.Order {
	var orders []engine.Order
	for _, a := range t.Want {
		if a.Kind == kind && !serves(loaded, a) {
			orders = append(orders, engine.Order{Kind: kind, Name: a.Name, Version: a.Version})
		}
	}
	return orders
}

func serves(loaded []engine.Loaded, a Artefact) bool {
	for _, l := range loaded {
		if l.Kind == a.Kind && l.Name == a.Name && l.Version == a.Version {
			return true
		}
	}
	return false
}

func surplus(t Target, loaded []engine.Loaded) []engine.Order {
	var orders []engine.Order
	for _, l := range loaded {
		if l.Kind != engine.OrderRole && !wants(t, l) {
			orders = append(orders, engine.Order{Kind: engine.OrderUnload, Name: l.Name, Version: l.Version})
		}
	}
	return orders
}

func wants(t Target, l engine.Loaded) bool {
	for _, a := range t.Want {
		if l.Kind == a.Kind && l.Name == a.Name && l.Version == a.Version {
			return true
		}
	}
	return false
}

// loads reports whether an order makes the engine fetch weights.
func loads(o engine.Order) bool {
	return o.Kind == engine.OrderLoadModel || o.Kind == engine.OrderLoadAdapter
}
