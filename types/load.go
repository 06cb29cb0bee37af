package types

import "time"

// Load is what a backend server reports of itself. It lags: At says when it was read.
type Load struct {
	Running      int       // requests in the current batch
	Queued       int       // requests waiting for the batch
	Capacity     int       // requests that a batch holds at the most
	CachedTokens int       // prompt tokens held in the prefix cache
	StepMicros   int       // time of the last decoding step, in microseconds
	At           time.Time // when the report was read, by the reader's clock
}

// Role is the part a process plays.
type Role string

// Roles of processes.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
)
