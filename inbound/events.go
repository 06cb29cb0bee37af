package inbound

import "github.com/pearyard/pearyard/event"

// Events of clients' connections that are closed with something unread.
var (
	EventUnreadDropped = event.Define(1010, "inbound_unread_dropped", event.Warn,
		"clients' connections were closed although bytes had come on them: this process had something unread at every look for ten seconds over the limit for heads, or until the end of a planned stop's time, or it got no processor time between a look that found nothing and the close; their clients may have got neither an answer nor a refusal",
		"look whether this process lacks processor time: the histogram ..._look_late_seconds; if not, a client sends byte after byte")
	EventClosedLate = event.Define(1012, "inbound_closed_late", event.Warn,
		"this process stood still between its look at a client's connection and its close by the limits in force (look_to_close, the longest of this look's): a request that came in between has neither an answer nor a refusal",
		"look whether this process lacks processor time")
	EventQueueLeft = event.Define(1011, "inbound_queue_left", event.Warn,
		"at the end of a planned stop this process could not make sure that it had accepted all connections that were waiting for it; their clients saw a reset",
		"look whether this process lacks processor time")
)
