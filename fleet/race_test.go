//go:build race

package fleet

// raceDetector reports whether the race detector is on. Its runtime aborts a process that
// has created as many goroutines as 400 VMs need.
const raceDetector = true
