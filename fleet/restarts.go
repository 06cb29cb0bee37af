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
func (r *Restarts) Found(old *directory.Server, id string) {
	if r.directory.Adopt(old, id, time.Now()) {
		r.socket.Send(encodeRestart(directory.Hash(old.ID), id))
	}
}

// take takes in a restart. Doubled or late ones are no news; the id alone says
// which process is meant, and a server that isn't that one refuses.
func (r *Restarts) take(_ string, _ head, raw []byte, now time.Time) bool {
	server, id, ok := decodeRestart(raw)
	if ok {
		r.directory.AdoptAs(server, id, now)
	}
	return ok
}
