//go:build !race

package directory

const raceDetector = false
