package fleet

import (
	"time"

	"github.com/pearyard/pearyard/directory"
)

// Restarts tells the other entry VMs of backend servers that were started again
// while the store is away, and takes in what they tell.
type Restarts struct {
	socket    *Socket
	directory *directory.Directory
}

// NewRestarts returns a Restarts that speaks through a socket.
func NewRestarts(socket *Socket, d *directory.Directory) *Restarts {
	r := &Restarts{socket: socket, directory: d}
	socket.handle(kindRestart, r.take)
	return r
}

// Found notes a restart here and tells the others.
func (r *Restarts) Found(old *directory.Server, start directory.Start) {
	if r.directory.RecordRestart(old, start, time.Now()) {
		r.socket.Send(encodeRestart(old.Hash(), start))
	}
}

// take takes in a restart. Doubled ones are no news, and one of a start before
// the known one is dropped.
func (r *Restarts) take(_ string, _ head, raw []byte, now time.Time) bool {
	server, start, ok := decodeRestart(raw)
	if ok {
		r.directory.RecordRestartByHash(server, start, now)
	}
	return ok
}
