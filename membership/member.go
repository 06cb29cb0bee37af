package membership

import "github.com/pearyard/pearyard/types"

// State is what is known of a member.
type State string

// States of members. A member in any of them but StateAlive gets no new work.
const (
	// StateAlive: the member answers, or nobody has said otherwise.
	StateAlive State = "alive"
	// StateSuspect: probes of the member failed; it may still refute that.
	StateSuspect State = "suspect"
	// StateLeaving: the member is being stopped; it never returns to
	// StateAlive within this incarnation.
	StateLeaving State = "leaving"
	// StateDead: the suspicion was not refuted in time, or another member has
	// taken the address. The same incarnation comes back only by refuting it.
	StateDead State = "dead"
)

// Member is one router or sidecar as seen by this process.
type Member struct {
	ID            types.ProcessID   `json:"id"`
	Role          types.Role        `json:"role"`
	Address       string            `json:"address"` // IP:port that other processes call
	Zone          types.Zone        `json:"zone"`
	BackendServer string            `json:"backend_server,omitempty"` // of a sidecar
	Incarnation   types.Incarnation `json:"incarnation"`
	State         State             `json:"state"`
	// Revision is the newest revision heard of this member; it lags and is a
	// lower bound. Who must know asks the member itself.
	Revision types.Revision `json:"revision"`
}
