package routebench

import (
	"strconv"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/route"
	"github.com/pearyard/pearyard/types"
)

// Model of entry VMs that tell each other their load.
const (
	tellEvery = 20 * time.Millisecond
	tellLag   = time.Millisecond
	service   = "models"
)

// listed chooses by package directory, as entry VMs do on the platform: by what
// this process has sent and by what the others tell of theirs, without reports,
// and without regard to prefix caches.
type listed struct {
	directory *directory.Directory
	zone      types.Zone
	now       func() time.Time
	position  uint64
	prompt    int // tokens of the request that is placed now
}

func newListed(zone types.Zone, now func() time.Time) *listed {
	return &listed{directory: directory.New(), zone: zone, now: now}
}

// list takes in the members that are alive.
func (l *listed) list(members []route.Candidate) {
	entries := make([]directory.Listing, len(members))
	for i, m := range members {
		entries[i] = directory.Listing{
			ID: string(m.ID), Born: int64(m.Incarnation), Service: service, Address: "127.0.0.1:" + strconv.Itoa(i+1),
			Zone: string(m.Zone), Slots: batchSize,
		}
	}
	l.position++
	l.directory.Apply(l.position, entries, false, l.now())
}

// Pick implements route.Policy.
func (l *listed) Pick(q *route.Query, v *route.View) (*route.Candidate, bool) {
	avoid := make(map[directory.Start]bool, len(q.Avoid))
	for _, id := range q.Avoid {
		if s := l.server(id); s != nil {
			avoid[s.Start] = true
		}
	}
	s := l.directory.Pick(directory.Query{Service: service, Zone: string(l.zone), Exclude: avoid, Prompt: l.prompt}, l.now())
	if s == nil {
		return nil, false
	}
	return v.Find(types.ProcessID(s.ID))
}

func (l *listed) server(id types.ProcessID) *directory.Server {
	for _, s := range l.directory.View().Service(service) {
		if s.ID == string(id) {
			return s
		}
	}
	return nil
}

// begun counts a request on a server. It may be called on nil, as the methods of load.
func (l *listed) begun(id types.ProcessID, q *request) *load {
	if l == nil {
		return nil
	}
	s := l.server(id)
	if s == nil {
		return nil
	}
	return &load{listed: l, server: s, running: s.BeginStream(len(q.allBlocks()) * tokensPerBlok)}
}

// load is a request's share of a server's load; nil counts nothing.
type load struct {
	listed  *listed
	server  *directory.Server
	running *directory.StreamLoad
}

func (l *load) read() {
	if l != nil {
		l.running.PromptRead()
	}
}

func (l *load) end() {
	if l != nil {
		l.running.End()
	}
}

func (l *load) lost() {
	if l != nil {
		l.running.End()
		l.server.MarkLost(l.listed.now())
	}
}

// tell hands on what each router has put on servers to all others.
func (s *sim) tell() {
	for _, from := range s.routers {
		if from.listed == nil {
			return
		}
		own := from.listed.directory.OwnLoad()
		s.clock.after(tellLag, func() {
			for _, to := range s.routers {
				if to != from {
					to.listed.directory.SetPeerLoad(string(from.name), own)
				}
			}
		})
	}
}
