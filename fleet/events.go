package fleet

import "github.com/pearyard/pearyard/event"

// EventHelped is emitted when a peer sent a newer configuration than the one of this
// process.
var EventHelped = event.Define(2740, "fleet_helped", event.Info,
	"a peer sent this process a newer configuration than it had read from the store", "find out why this process does not reach the store")

// EventPeerSilent is emitted when a peer did not answer a query.
var EventPeerSilent = event.Define(2741, "fleet_peer_silent", event.Info,
	"a peer that was asked for a newer configuration or list did not answer", "nothing, unless no peer answers")

// EventNoPeer is emitted when rows of the registry of entry VMs hold no valid address.
var EventNoPeer = event.Define(2742, "fleet_no_peer", event.Warn,
	"rows of the table of entry VMs hold no ip:port and are ignored; all other rows are used", "find out which program writes the rows named in the line")

// EventDeltaUnusable is emitted when the delta sent by a peer can't be applied to the
// configuration in force.
var EventDeltaUnusable = event.Define(2744, "fleet_delta_unusable", event.Info,
	"a change of the configuration sent by a peer does not apply to the one in force; it is read from the store instead", "nothing, unless it keeps happening")

// EventDatagramUnreadable is emitted for a datagram of an unknown kind or format, at most
// once per unreadableInterval.
var EventDatagramUnreadable = event.Define(2743, "fleet_datagram_unreadable", event.Warn,
	"a datagram to the port of entry VMs can't be decoded; others is the number of further ones since the last line", "find out what sends from the address in the line, unless VMs run different versions")

// EventServerLimit and EventServerLimitLifted are emitted when a backend server names a
// rate limit or another one, and when it names none any more or is gone.
var (
	EventServerLimit = event.Define(2745, "fleet_server_limit", event.Warn,
		"a backend server has named how many requests a second it takes from all entry VMs together; before is the former limit, 0 if there was none",
		"look at the server; if many servers of a service do so, the service needs more of them")
	EventServerLimitLifted = event.Define(2746, "fleet_server_limit_lifted", event.Info,
		"a backend server names no rate limit any more, or is gone", "nothing")
)

// EventVersionsNotSaved and EventVersionsNotRead are emitted when a call to the store for
// the versions of streams fails.
var (
	EventVersionsNotSaved = event.Define(2747, "fleet_stream_versions_not_saved", event.Warn,
		"which versions began this process's streams could not be written to the store; it is tried again", "check the store; if all entry VMs are lost meanwhile, callers that come back for these streams are refused")
	EventVersionsNotRead = event.Define(2748, "fleet_stream_versions_not_read", event.Warn,
		"which versions began the streams of other entry VMs could not be read from the store", "check the store; callers that come back are refused if no other entry VM knows the version of their stream")
)

// EventServerLeaves is emitted once for each start of a backend server that is known to have
// said in an answer that it leaves.
var EventServerLeaves = event.Define(2749, "fleet_server_leaves", event.Info,
	"a backend server has said in an answer that it leaves, to this process or to another entry VM (by_peer); it gets no new work, whatever the store lists", "nothing")

// EventServerDisturbed is emitted when a backend server's reports have said for long that
// work takes notably longer than usual on its machine.
var EventServerDisturbed = event.Define(2786, "fleet_server_disturbed", event.Warn,
	"a backend server has reported for seconds on end that work takes longer than usual on its machine, which it shares with others; figure is the newest report, usual the usual one, 100 a machine without others", "find out what else runs on the machine; if it stays, move the server")
