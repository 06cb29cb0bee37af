package event

import (
	"fmt"
	"sort"
	"sync"
)

// Level is the weight of an event.
type Level string

// Levels of events.
const (
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Kind is one numbered event of the catalogue.
type Kind struct {
	Number int    // unique; ranges by concern are listed in docs/EVENTS.md
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

// Define adds a kind to the catalogue. It panics on a number used twice: that
// is a mistake in the program, found by any test that loads the package.
func Define(number int, name string, lvl Level, means, do string) Kind {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if old, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event PY%04d is %s and %s", number, old.Name, name))
	}
	kind := Kind{Number: number, Name: name, Level: lvl, Means: means, Do: do}
	catalogue[number] = kind
	return kind
}

// Catalogue returns every defined kind by number.
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
