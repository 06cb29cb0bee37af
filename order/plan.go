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

// Target is what the configuration asks one backend server to serve.
type Target struct {
	Address string // of its sidecar
	Service string
	Want    []Artefact
}

// stages lists the kinds in the sequence in which they are ordered: an adapter
// needs its model, and a role needs the models and adapters that it serves.
var stages = []engine.OrderKind{engine.OrderLoadModel, engine.OrderLoadAdapter, engine.OrderRole}

// plan returns the next orders on the way from loaded to the target. It orders one
// stage at a time, and unloads what isn't wanted only when everything wanted is
// loaded, so that a change of version never leaves the engine without either
// version. With an empty target nothing is unloaded: it is more likely an
// unfinished configuration than a wish to serve nothing.
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
		if a.Kind == kind && !isLoaded(loaded, a) {
			orders = append(orders, engine.Order{Kind: kind, Name: a.Name, Version: a.Version})
		}
	}
	return orders
}

func isLoaded(loaded []engine.Loaded, a Artefact) bool {
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
		if l.Kind != engine.OrderRole && !isWanted(t, l) {
			orders = append(orders, engine.Order{Kind: engine.OrderUnload, Name: l.Name, Version: l.Version})
		}
	}
	return orders
}

func isWanted(t Target, l engine.Loaded) bool {
	for _, a := range t.Want {
		if l.Kind == a.Kind && l.Name == a.Name && l.Version == a.Version {
			return true
		}
	}
	return false
}

// fetchesWeights reports whether an order makes the engine fetch weights.
func fetchesWeights(o engine.Order) bool {
	return o.Kind == engine.OrderLoadModel || o.Kind == engine.OrderLoadAdapter
}
