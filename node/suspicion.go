package node

import (
	"slices"
	"time"

	"github.com/pearyard/pearyard/config"
	"github.com/pearyard/pearyard/router"
	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

// probationPeriod is how long a suspect runs alone on an engine before the next one may
// join it: a request that crashes engines does so within its first tokens.
const probationPeriod = time.Second

func (b *base) newSuspects() {
	b.suspects = suspect.New(suspect.Options{
		Self: b.opts.ID, Probation: probationPeriod,
		Table: b.opts.Platform.Table, Recorder: b.recorder, Registerer: b.registry,
	})
	b.suspects.Configure(text.DefaultSuspicionLimit, text.DefaultQuarantineSeconds*time.Second)
	client := b.peer.Client()
	b.gossiper = suspect.NewGossiper(b.suspects, suspect.GossiperOptions{
		Self:  b.opts.Advertise,
		Peers: b.peerAddresses,
		Dial: func(addr string) suspectpb.Suspects {
			return suspectpb.NewSuspectsProtobufClient("http://"+addr, client)
		},
	})
}

// applySuspicionLimits applies the suspicion limits of a new configuration.
func (b *base) applySuspicionLimits(snapshot *config.Snapshot) {
	recovery := snapshot.Config.Recovery
	b.suspects.Configure(recovery.SuspicionLimit, recovery.Quarantine())
}

// peerAddresses returns the addresses of all other members that are believed to be alive,
// and of the sidecars named in the configuration while this process is too young to have
// discovered them.
//
// It guards against a router that has just started, knows no members, and therefore
// neither reports a crash to anyone nor asks anyone for the grant to run a suspect: a
// request would then crash two engines through each router.
func (b *base) peerAddresses() []string {
	view := b.members.Snapshot()
	var out []string
	for _, m := range view.Alive(types.RoleRouter) {
		out = append(out, m.Address)
	}
	for _, site := range router.JournalSites(view, b.currentConfig(), time.Since(b.startedAt)) {
		out = append(out, site.Address)
	}
	return slices.DeleteFunc(out, func(addr string) bool { return addr == b.opts.Advertise })
}
