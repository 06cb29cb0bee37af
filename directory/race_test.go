//go:build race

package directory

// raceDetector tells whether the race detector is on.
const raceDetector = true
