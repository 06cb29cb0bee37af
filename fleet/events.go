package fleet

import "github.com/pearyard/pearyard/event"

// EventHelped is emitted when a peer knew more than this process.
var EventHelped = event.Define(2740, "fleet_helped", event.Info,
	"a peer told this process a newer configuration or list than the store did", "look why this process does not reach the store")

// EventPeerSilent is emitted when a peer that was asked for help did not answer.
var EventPeerSilent = event.Define(2741, "fleet_peer_silent", event.Info,
	"a peer that was asked for what the store does not tell gave no answer", "nothing, unless no peer answers")

// EventNoPeer is emitted when rows of the table of entry VMs name none.
var EventNoPeer = event.Define(2742, "fleet_no_peer", event.Warn,
	"rows of the table of entry VMs hold no ip:port; the VMs of all other rows are known", "find out who writes the rows that the line names")

// EventDeltaUnusable is emitted when a peer's change of the configuration does not
// fit the text that is in force here.
var EventDeltaUnusable = event.Define(2744, "fleet_delta_unusable", event.Info,
	"a peer's change of the configuration does not fit the one in force here; the store is asked", "nothing, unless it goes on")

// EventDatagramUnreadable is emitted at most once a second.
var EventDatagramUnreadable = event.Define(2743, "fleet_datagram_unreadable", event.Warn,
	"a datagram to the port of entry VMs can't be read; others is how many more there were since the last line", "look what sends from the address in the line, unless VMs run different versions")
