package fleet

import (
	"sync/atomic"
	"time"
)

// linkedSockets returns the sockets of two VMs that reach each other while up is true.
func linkedSockets(up *atomic.Bool) (a, b *Socket) {
	sockets := map[string]*Socket{}
	link := func(name, other string) *Socket {
		s := NewSocket(name, func() []string { return []string{other} }, nil)
		s.write = func(raw []byte, to string) bool {
			if up.Load() {
				sockets[to].dispatch(name, raw, time.Now())
			}
			return true
		}
		sockets[name] = s
		return s
	}
	return link("a", "b"), link("b", "a")
}
