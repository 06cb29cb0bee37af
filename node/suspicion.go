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

// probation is how long a suspect runs alone on an engine before the next one
// may join it: a request that crashes engines does so within its first tokens.
const probation = time.Second

func (b *base) newSuspects() {
	b.suspects = suspect.New(suspect.Options{
		Self: b.opts.ID, Probation: probation,
		Table: b.opts.Platform.Table, Recorder: b.recorder, Registerer: b.registry,
	})
	b.suspects.Configure(text.DefaultSuspicionLimit, text.DefaultQuarantineSeconds*time.Second)
	client := b.peer.Client()
	b.news = suspect.NewGossiper(b.suspects, suspect.GossiperOptions{
		Self:  b.opts.Advertise,
		Peers: b.others,
		Dial: func(addr string) suspectpb.Suspects {
			return suspectpb.NewSuspectsProtobufClient("http://"+addr, client)
		},
	})
}

// applySuspicion puts a new text's limits of suspicion in force.
func (b *base) applySuspicion(snapshot *config.Snapshot) {
	recovery := snapshot.Config.Recovery
	b.suspects.Configure(recovery.SuspicionLimit, recovery.Quarantine())
}

// others lists the peer addresses of all other members that are thought to
// live, and of the sidecars that the text names while this process is too young
// to have met them.
//
// Failure it stops: a router that has just started knows no member, so it tells
// nobody of a crash and asks nobody for a suspect's run. It shows as a request
// that crashes two engines through each router.
func (b *base) others() []string {
	view := b.members.Snapshot()
	var out []string
	for _, m := range view.Alive(types.RoleRouter) {
		out = append(out, m.Address)
	}
	for _, site := range router.Sites(view, b.text(), time.Since(b.created)) {
		out = append(out, site.Address)
	}
	return slices.DeleteFunc(out, func(addr string) bool { return addr == b.opts.Advertise })
}
