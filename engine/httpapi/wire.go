package httpapi

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

// Paths of an engine's HTTP API.
const (
	PathGenerate    = "/v1/generate"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrders      = "/v1/orders"
	PathLoaded      = "/v1/loaded"
	PathHealth      = "/healthz"
)

// QuerySince is the parameter of PathCacheEvents: the last sequence number that the
// caller knows.
const QuerySince = "since"

// TokenLine is one line of a generation: a new token.
type TokenLine struct {
	ID   uint32 `json:"id"`
	Text string `json:"text"`
}

// FinishLine is the last line of a generation that the engine finished.
type FinishLine struct {
	Finish          types.FinishReason `json:"finish"`
	PrefilledTokens int                `json:"prefilled_tokens"`
}

// LoadReport is the body of PathLoad. types.Load describes the fields.
type LoadReport struct {
	Running      int `json:"running"`
	Queued       int `json:"queued"`
	Capacity     int `json:"capacity"`
	CachedTokens int `json:"cached_tokens"`
	StepMicros   int `json:"step_micros"`
}

// Load converts the report, which was read at the given time, to a types.Load.
func (r LoadReport) Load(at time.Time) types.Load {
	return types.Load{
		Running:      r.Running,
		Queued:       r.Queued,
		Capacity:     r.Capacity,
		CachedTokens: r.CachedTokens,
		StepMicros:   r.StepMicros,
		At:           at,
	}
}
