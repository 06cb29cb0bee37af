//go:build !race

package directory

const raceEnabled = false
