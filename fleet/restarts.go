package fleet

import (
	"time"

	"github.com/pearyard/pearyard/directory"
)

// Restarts tells the other entry VMs of backend servers that were restarted while the
// store is unavailable, and receives their reports.
type Restarts struct {
	socket    *Socket
	directory *directory.Directory
}

// NewRestarts returns a Restarts that communicates through a socket.
func NewRestarts(socket *Socket, d *directory.Directory) *Restarts {
	r := &Restarts{socket: socket, directory: d}
	socket.handle(kindRestart, r.receive)
	return r
}

// Announce records a restart that this process has detected, and tells the other VMs.
func (r *Restarts) Announce(old *directory.Server, start directory.Start) {
	if r.directory.RecordRestart(old, start, time.Now()) {
		r.socket.Send(encodeRestart(old.Hash(), start))
	}
}

// receive handles the restart of a server. Duplicates have no effect, and a start that is
// older than the known one is dropped.
func (r *Restarts) receive(_ string, _ header, raw []byte, now time.Time) bool {
	server, start, ok := decodeRestart(raw)
	if ok {
		r.directory.RecordRestartByHash(server, start, now)
	}
	return ok
}
