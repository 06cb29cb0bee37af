package membership

import "github.com/pearyard/pearyard/types"

// State is the state of a member as seen by this process.
type State string

// States of members. Only a member in StateAlive gets new work.
const (
	// StateAlive: the member answers, or nobody has reported otherwise.
	StateAlive State = "alive"
	// StateSuspect: probes of the member failed; it can still refute the
	// suspicion.
	StateSuspect State = "suspect"
	// StateLeaving: the member is shutting down; it never returns to StateAlive
	// within this incarnation.
	StateLeaving State = "leaving"
	// StateDead: the suspicion was not refuted in time, or another member has
	// taken over the address. The same incarnation returns only by refuting its
	// death.
	StateDead State = "dead"
)

// Member is one router or sidecar as seen by this process.
type Member struct {
	ID            types.ProcessID   `json:"id"`
	Role          types.Role        `json:"role"`
	Address       string            `json:"address"` // IP:port at which other processes call it
	Zone          types.Zone        `json:"zone"`
	BackendServer string            `json:"backend_server,omitempty"` // sidecars only
	Incarnation   types.Incarnation `json:"incarnation"`
	State         State             `json:"state"`
	// Revision is the newest configuration revision reported for this member. It
	// lags and is a lower bound; for the exact value, ask the member itself.
	Revision types.Revision `json:"revision"`
}
