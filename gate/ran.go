package gate

// Ran reports whether an attempt under a claim's key was handed to the service
// by this run of the sidecar, as far as it remembers.
func (c *Calls) Ran(claimKey string) bool { return c.memory.ran(claimKey) }

// ran looks through one shard: it is only asked when a router can't read the claim.
func (m *memory) ran(claim string) bool {
	s := m.shard(attemptID{claim: claim})
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if id.claim == claim && (e.state == Running || e.state == Completed || e.state == Lost) {
			return true
		}
	}
	return false
}
