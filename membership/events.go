package membership

import "github.com/pearyard/pearyard/event"

// Events of membership; docs/operations/membership.md describes each.
var (
	eventJoined = event.Define(1200, "member_joined", event.Info,
		"a process has joined, or a known one has restarted", "nothing")
	eventSuspect = event.Define(1201, "member_suspect", event.Warn,
		"a member doesn't answer probes; it gets no new work and has a few seconds to refute the suspicion", "nothing; look at the VM if it recurs")
	eventRefuted = event.Define(1202, "member_back", event.Info,
		"a suspect or dead member answers again in the same incarnation: it was frozen or unreachable", "look for VM pauses or the network if it recurs")
	eventDead = event.Define(1203, "member_dead", event.Warn,
		"a suspect member did not refute the suspicion in time", "replace the VM if the platform doesn't")
	eventLeaving = event.Define(1204, "member_leaving", event.Info,
		"a member is shutting down and gets no new work", "nothing")
	eventReplaced = event.Define(1205, "member_replaced", event.Info,
		"a new member has taken over the address of an old one, which is therefore dead", "nothing; if it repeats, two processes are configured with the same address")
	eventSelfAccused = event.Define(1206, "self_accused", event.Warn,
		"other members considered this process suspect or dead; it has refuted that", "look for pauses of this VM or network problems")
	eventIncarnationBehind = event.Define(1207, "incarnation_behind", event.Error,
		"other members know an incarnation of this process ID with a later start time: this VM's clock was set back, or two processes share the ID", "give each process its own ID; correct the clock and restart this process")
	eventCutOff = event.Define(1208, "cut_off", event.Warn,
		"this process does not reach more than half of the members and therefore declares none dead", "look for a network partition; waiting is safe")
	eventReconnected = event.Define(1209, "reconnected", event.Info,
		"this process reaches more than half of the members again", "nothing")
	eventFrozen = event.Define(1210, "self_frozen", event.Warn,
		"this process did not run for some time; probe results from that time are discarded", "look for pauses of this VM")
	eventVMListDown = event.Define(1211, "vm_list_unavailable", event.Warn,
		"the platform's VM list can't be read; the members are left unchanged", "nothing; the list only adds candidates and marks members as leaving")
	eventVMListUp = event.Define(1212, "vm_list_available", event.Info,
		"the platform's VM list can be read again", "nothing")
	eventAlone = event.Define(1213, "no_member_found", event.Warn,
		"no seed or candidate has answered since this process started", "check the seeds in the settings and the network")
)
