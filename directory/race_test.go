//go:build race

package directory

// raceEnabled reports whether the race detector is on.
const raceEnabled = true
