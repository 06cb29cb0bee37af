//go:build race

package fleet

// raceDetector tells whether the race detector is on. Its runtime ends a process that
// has made as many goroutines as 400 VMs need.
const raceDetector = true
