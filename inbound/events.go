package inbound

import "github.com/pearyard/pearyard/event"

// Events about clients' connections that are closed with unread data.
var (
	EventUnreadDropped = event.Define(1010, "inbound_unread_dropped", event.Warn,
		"clients' connections were closed although data had arrived on them: there was unread data at every check until ten seconds over the limit for headers, or until the time of a planned stop was over, or this process got no CPU time between a check that found no data and the close; their clients may have received neither a response nor a refusal",
		"check whether this process lacks CPU time, with the histogram ..._look_late_seconds; if it doesn't, a client sends its header byte by byte")
	EventClosedLate = event.Define(1012, "inbound_closed_late", event.Warn,
		"this process stalled between the check of a client's connection and its close by the limits in force (look_to_close is the longest time in this sweep): a request that arrived in between got neither a response nor a refusal",
		"check whether this process lacks CPU time")
	EventQueueLeft = event.Define(1011, "inbound_queue_left", event.Warn,
		"at the end of a planned stop this process could not make sure that it had accepted all connections in the listener's queue; clients of connections that were left there saw a reset",
		"check whether this process lacks CPU time")
	EventListenerClosed = event.Define(1013, "inbound_listener_closed", event.Info,
		"a planned stop closed the listener: since_last is how long before that a client connected (0: none did), took how long the close lasted; clients that connect during the close may see a reset",
		"if since_last is short, find out why clients are still sent to a process that reports itself not ready")
)
