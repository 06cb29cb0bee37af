package membership

import "github.com/pearyard/pearyard/event"

// Events of membership; docs/operations/membership.md says more on each.
var (
	eventJoined = event.Define(1200, "member_joined", event.Info,
		"a process is a member that was not known, or a later run of one", "nothing")
	eventSuspect = event.Define(1201, "member_suspect", event.Warn,
		"a member doesn't answer; it gets no new work and has some seconds to refute", "nothing; look at the VM if it recurs")
	eventRefuted = event.Define(1202, "member_back", event.Info,
		"a suspect or dead member answers again in the same run: it was frozen or cut off", "look for VM pauses or the network if it recurs")
	eventDead = event.Define(1203, "member_dead", event.Warn,
		"a suspicion was not refuted in time", "replace the VM if the platform doesn't")
	eventLeaving = event.Define(1204, "member_leaving", event.Info,
		"a member is being stopped and gets no new work", "nothing")
	eventReplaced = event.Define(1205, "member_replaced", event.Info,
		"a new member answers under the address of an old one, which is thereby dead", "nothing; if it repeats, two processes have one address in their settings")
	eventSelfAccused = event.Define(1206, "self_accused", event.Warn,
		"other members held this process suspect or dead; it has refuted that", "look for pauses of this VM or its network")
	eventIncarnationBehind = event.Define(1207, "incarnation_behind", event.Error,
		"another run of this process id with a later start time is known: this VM's clock was set back, or two processes have one id", "give each process its own id; correct the clock and restart this process")
	eventCutOff = event.Define(1208, "cut_off", event.Warn,
		"this process reaches less than half of the members and declares none dead", "look for a network partition; nothing is lost by waiting")
	eventReconnected = event.Define(1209, "reconnected", event.Info,
		"this process reaches more than half of the members again", "nothing")
	eventFrozen = event.Define(1210, "self_frozen", event.Warn,
		"this process did not run for some time; what it saw meanwhile is discarded", "look for pauses of this VM")
	eventVMListDown = event.Define(1211, "vm_list_unavailable", event.Warn,
		"the platform's VM list can't be read; members are kept as they are", "nothing; the list only adds candidates and leaving marks")
	eventVMListUp = event.Define(1212, "vm_list_available", event.Info,
		"the platform's VM list can be read again", "nothing")
	eventAlone = event.Define(1213, "no_member_found", event.Warn,
		"none of the seeds and candidates has answered since the start", "check the seeds in the settings and the network")
)
