package tokenlog

import "github.com/pearyard/pearyard/event"

// Events of the journal.
var (
	EventEvictedRunning = event.Define(2201, "journal_evicted_running", event.Warn,
		"the journal was full and dropped tokens of generations that were still running, the least recently updated first; "+
			"if such a generation now loses its router and its runner at the same time, its answer is lost",
		"raise the sidecar setting journalMegabytes, or journalAfterMillis in the configuration so that fewer generations are journalled")
	EventRefused = event.Define(2202, "journal_record_refused", event.Error,
		"a journal record was malformed or contradicted the tokens already held, and was rejected; no answer is corrupted by it",
		"report it with the dumps of both processes: two different tokens for the same attempt and index are a bug in pearyard")
	EventPeerReplaced = event.Define(2203, "journal_peer_replaced", event.Warn,
		"a journal peer did not accept records; its generations were sent in full to the next peer in rendezvous order",
		"nothing, unless the same peer is named for minutes: then check that VM and the network path to it")
	EventNoPeer = event.Define(2204, "journal_no_peer", event.Warn,
		"a generation has fewer journal peers than journalPeers asks for; the assignment is retried every few seconds",
		"nothing if VMs are being replaced; otherwise check which sidecars are reachable from this one")
	EventWriterFull = event.Define(2205, "journal_writer_full", event.Warn,
		"the tokens that this sidecar buffers for journalling reached their limit; a generation continues without being journalled",
		"raise journalAfterMillis in the configuration, so that fewer generations are journalled")
)
