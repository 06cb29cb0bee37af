package event

import (
	"fmt"
	"sort"
	"sync"
)

// Level is the severity of an event.
type Level string

// Levels of events.
const (
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Kind is the definition of a numbered event in the catalogue.
type Kind struct {
	Number int    // unique; docs/EVENTS.md lists the range of each concern
	Name   string // snake_case, stable
	Level  Level
	Means  string // what happened
	Do     string // what an operator may do; "nothing" where nothing is needed
}

// ID returns the event's number as operators see it, such as PY2101.
func (k Kind) ID() string { return fmt.Sprintf("PY%04d", k.Number) }

var (
	catalogueMu sync.Mutex
	catalogue   = map[int]Kind{}
)

// Define adds a kind to the catalogue. It panics if the number is in use: that is a
// programming error, which any test that loads both packages finds.
func Define(number int, name string, lvl Level, means, do string) Kind {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if old, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event PY%04d is defined as both %s and %s", number, old.Name, name))
	}
	kind := Kind{Number: number, Name: name, Level: lvl, Means: means, Do: do}
	catalogue[number] = kind
	return kind
}

// Catalogue returns all defined kinds, sorted by number.
func Catalogue() []Kind {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	kinds := make([]Kind, 0, len(catalogue))
	for _, k := range catalogue {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i].Number < kinds[j].Number })
	return kinds
}
