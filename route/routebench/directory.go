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
	loadExchangeDelay    = time.Millisecond
	service              = "models"
)

// directoryPolicy selects servers with package directory, as entry VMs on the
// platform do: by what this process has sent and what the others announce, without
// load reports or prefix caches.
type directoryPolicy struct {
	directory    *directory.Directory
	zone         types.Zone
	now          func() time.Time
	position     uint64
	promptTokens int // tokens of the request being placed
}

func newDirectoryPolicy(zone types.Zone, now func() time.Time) *directoryPolicy {
	return &directoryPolicy{directory: directory.New(), zone: zone, now: now}
}

// apply replaces the members with those that are alive.
func (l *directoryPolicy) apply(members []route.Candidate) {
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
func (l *directoryPolicy) Pick(q *route.Query, v *route.View) (*route.Candidate, bool) {
	avoid := make(map[directory.Start]bool, len(q.Avoid))
	for _, id := range q.Avoid {
		if s := l.server(id); s != nil {
			avoid[s.Start] = true
		}
	}
	s := l.directory.Pick(directory.Query{Service: service, Zone: string(l.zone), Exclude: avoid, Prompt: l.promptTokens}, l.now())
	if s == nil {
		return nil, false
	}
	return v.Find(types.ProcessID(s.ID))
}

func (l *directoryPolicy) server(id types.ProcessID) *directory.Server {
	for _, s := range l.directory.View().Service(service) {
		if s.ID == string(id) {
			return s
		}
	}
	return nil
}

// begin counts a request on a server. It may be called on nil, like the methods of
// serverLoad.
func (l *directoryPolicy) begin(id types.ProcessID, q *request) *serverLoad {
	if l == nil {
		return nil
	}
	s := l.server(id)
	if s == nil {
		return nil
	}
	return &serverLoad{policy: l, server: s, running: s.BeginStream(len(q.allBlocks()) * tokensPerBlock)}
}

// serverLoad is a request's share of a server's load; nil counts nothing.
type serverLoad struct {
	policy  *directoryPolicy
	server  *directory.Server
	running *directory.StreamLoad
}

func (l *serverLoad) read() {
	if l != nil {
		l.running.PromptPrefilled()
	}
}

func (l *serverLoad) end() {
	if l != nil {
		l.running.End()
	}
}

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
