package fleet

import "time"

// MembersRead records the digest of the entry VMs just read from the registry; a watcher
// announces it.
func (e *Election) MembersRead(digest uint64) {
	e.membersDigest.Store(digest)
	e.delegateMembers(time.Now())
	if e.IsWatcher() {
		e.announce(announcement{membersReadNow: true})
	}
}

// MembersDelegated reports whether this process has recently read the registry, or a watcher
// has and found the same entry VMs as are known here.
func (e *Election) MembersDelegated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.membersDelegatedUntil)
}

// NewMembers returns a channel that holds a token when a watcher has found other entry VMs
// than are known here.
func (e *Election) NewMembers() <-chan struct{} { return e.newMembers }

// receiveMembers handles the digest that a watcher has read from the registry.
func (e *Election) receiveMembers(digest uint64, now time.Time) {
	own := e.membersDigest.Load()
	if own == 0 {
		return // this process has not read the registry yet
	}
	if digest != own {
		signal(e.newMembers)
		return
	}
	e.delegateMembers(now)
}

func (e *Election) delegateMembers(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.membersDelegatedUntil = at.Add(membersLeaseTime)
}
