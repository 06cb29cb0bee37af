package fleet

import "github.com/pearyard/pearyard/event"

// EventHelped is emitted when a peer knew more than this process.
var EventHelped = event.Define(2740, "fleet_helped", event.Info,
	"a peer told this process a newer configuration or list than the store did", "look why this process does not reach the store")

// EventPeerSilent is emitted when a peer that was asked for help did not answer.
var EventPeerSilent = event.Define(2741, "fleet_peer_silent", event.Info,
	"a peer that was asked for what the store does not tell gave no answer", "nothing, unless no peer answers")
