package routebench

import (
	"strconv"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/route"
	"github.com/pearyard/pearyard/types"
)

// Model of entry VMs that exchange their load.
const (
	loadExchangeInterval = 20 * time.Millisecond
	loadExchangeDelay    = time.Millisecond // one way
	service              = "models"         // the only service
)

// directoryPolicy selects servers with package directory, as entry VMs on the
// platform do: by what this process has sent and what the others announce, without
// load reports or prefix caches.
type directoryPolicy struct {
	directory    *directory.Directory
	zone         types.Zone
	now          func() time.Time
	position     types.Position
	promptTokens int // tokens of the request being placed
}

func newDirectoryPolicy(zone types.Zone, now func() time.Time) *directoryPolicy {
	return &directoryPolicy{directory: directory.New(), zone: zone, now: now}
}

// apply replaces the members with those that are alive.
func (d *directoryPolicy) apply(members []route.Candidate) {
	entries := make([]directory.Listing, len(members))
	for i, m := range members {
		entries[i] = directory.Listing{
			ID: string(m.ID), Born: int64(m.Incarnation), Service: service, Address: "127.0.0.1:" + strconv.Itoa(i+1),
			Zone: string(m.Zone), Slots: batchSize,
		}
	}
	d.position++
	d.directory.Apply(d.position, entries, false, d.now())
}

// Pick implements route.Policy.
func (d *directoryPolicy) Pick(q *route.Query, v *route.View) (*route.Candidate, bool) {
	avoid := make(map[directory.Start]bool, len(q.Avoid))
	for _, id := range q.Avoid {
		if s := d.server(id); s != nil {
			avoid[s.Start] = true
		}
	}
	s := d.directory.Pick(directory.Query{Service: service, Zone: string(d.zone), Exclude: avoid, Prompt: d.promptTokens}, d.now())
	if s == nil {
		return nil, false
	}
	return v.Find(types.ProcessID(s.ID))
}

func (d *directoryPolicy) server(id types.ProcessID) *directory.Server {
	for _, s := range d.directory.View().Service(service) {
		if s.ID == string(id) {
			return s
		}
	}
	return nil
}

// begin counts a request on a server. It may be called on nil, like the methods of
// serverLoad.
func (d *directoryPolicy) begin(id types.ProcessID, q *request) *serverLoad {
	if d == nil {
		return nil
	}
	s := d.server(id)
	if s == nil {
		return nil
	}
	return &serverLoad{policy: d, server: s, running: s.BeginStream(len(q.allBlocks()) * tokensPerBlock)}
}

// serverLoad is a request's share of a server's load. Its methods do nothing on
// nil.
type serverLoad struct {
	policy  *directoryPolicy
	server  *directory.Server
	running *directory.StreamLoad
}

// promptRead records that the server has read the prompt.
func (l *serverLoad) promptRead() {
	if l != nil {
		l.running.PromptPrefilled()
	}
}

func (l *serverLoad) end() {
	if l != nil {
		l.running.End()
	}
}

// lost ends the request's share and marks the server as lost.
func (l *serverLoad) lost() {
	if l != nil {
		l.running.End()
		l.server.MarkLost(l.policy.now())
	}
}

// exchangeLoad passes the load that each router has placed on servers to all other
// routers.
func (s *sim) exchangeLoad() {
	for _, from := range s.routers {
		if from.directoryPolicy == nil {
			return
		}
		own := from.directoryPolicy.directory.OwnLoad()
		s.clock.after(loadExchangeDelay, func() {
			for _, to := range s.routers {
				if to != from {
					to.directoryPolicy.directory.SetPeerLoad(string(from.name), own)
				}
			}
		})
	}
}
