package types

import "time"

// Load is a load report of a backend server. It may be out of date; see At.
type Load struct {
	Running      int       // requests in the current batch
	Queued       int       // requests waiting to join the batch
	Capacity     int       // maximum number of requests in a batch
	CachedTokens int       // prompt tokens in the prefix cache
	StepMicros   int       // duration of the last decoding step, in microseconds
	At           time.Time // when the report was read, by the reader's clock
}

// Role is the role of a process.
type Role string

// Values of Role.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
)
