package fleet

import "time"

// MembersRead notes what the registry of entry VMs says, by a digest, and tells the
// others if this VM is a watcher.
func (e *Election) MembersRead(digest uint64) {
	e.digest.Store(digest)
	e.delegateMembers(time.Now())
	if e.Watches() {
		e.announce(announcement{membersReadNow: true})
	}
}

// MembersDelegated tells whether a watcher has lately read the registry and found
// what is known here.
func (e *Election) MembersDelegated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.membersUntil)
}

// NewMembers holds a token when a watcher has found other entry VMs than are known here.
func (e *Election) NewMembers() <-chan struct{} { return e.newMembers }

// receiveMembers takes in what a watcher has read of the registry.
func (e *Election) receiveMembers(digest uint64, now time.Time) {
	own := e.digest.Load()
	if own == 0 {
		return // it is being read
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
	e.membersUntil = at.Add(membersLeaseTime)
}
