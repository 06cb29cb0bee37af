package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/pearyard/pearyard/directory"
)

// minTrialServers is more than one, as a single faulty server must not look like a bad
// version.
const minTrialServers = 2

// trialServerCount returns how many of n servers of a version on trial get its requests.
// Each of them then carries as much as it would if the version had all requests: some
// versions fail under load only.
func trialServerCount(share float64, n int) int {
	return min(n, max(minTrialServers, int(math.Round(share*float64(n)))))
}

// trialServers returns the servers of a version on trial that get requests, nil for all. All
// processes choose the same ones.
func (c *Controller) trialServers(s *state, p Phase) map[directory.Start]bool {
	if p != Trial {
		return nil
	}
	var all []*directory.Server
	for _, server := range c.opts.Directory.View().Service(s.order.Service) {
		if server.Version() == s.order.Version && !server.Draining() {
			all = append(all, server)
		}
	}
	slices.SortFunc(all, func(a, b *directory.Server) int {
		return cmp.Or(cmp.Compare(a.Hash(), b.Hash()), cmp.Compare(a.ID, b.ID))
	})
	chosen := make(map[directory.Start]bool)
	for _, server := range all[:trialServerCount(trialShare*c.opts.Share, len(all))] {
		chosen[server.Start] = true
	}
	return chosen
}
