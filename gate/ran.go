package gate

// Ran reports whether an attempt with a claim's key was passed to the service by
// this incarnation of the sidecar, as far as it remembers.
func (c *Calls) Ran(claimKey string) bool { return c.memory.ran(claimKey) }

// ran searches one shard by iteration. It is rarely used: only when a router can't
// read the claim row.
func (m *memory) ran(claimKey string) bool {
	s := m.shard(attemptID{claim: claimKey})
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if id.claim == claimKey && (e.state == Running || e.state == Completed || e.state == Lost) {
			return true
		}
	}
	return false
}
