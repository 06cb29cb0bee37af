package tokenlog

import "github.com/pearyard/pearyard/event"

// Events of the journal.
var (
	EventEvictedRunning = event.Define(2201, "journal_evicted_running", event.Warn,
		"the journal was full and dropped tokens of generations that still ran, the longest silent first; "+
			"if such a generation now loses its router and its runner together, its answer is lost",
		"raise the sidecar's setting journalMegabytes, or the text's journalAfterMillis so that fewer generations are journalled")
	EventRefused = event.Define(2202, "journal_record_refused", event.Error,
		"a journal record contradicted what is held or was malformed and was not taken; no answer is mixed by it",
		"report it with both processes' dumps: two different tokens under one attempt and index are a fault in pearyard")
	EventPeerReplaced = event.Define(2203, "journal_peer_replaced", event.Warn,
		"a journal peer did not take records; its generations were given whole to the next peer in rendezvous order",
		"nothing, unless the same peer is named for minutes: then look at that VM or the network to it")
	EventNoPeer = event.Define(2204, "journal_no_peer", event.Warn,
		"fewer journal peers took a generation than journalPeers asks for; tried again every few seconds",
		"nothing if VMs are being replaced; else see which sidecars are reachable from this one")
	EventWriterFull = event.Define(2205, "journal_writer_full", event.Warn,
		"the tokens that this sidecar keeps for journalling reached their bound; a generation goes on unjournalled",
		"raise the text's journalAfterMillis, so that fewer generations are journalled")
)
