package site

import (
	"cmp"
	"slices"
	"time"
)

// Urgency orders requests that compete for the backend servers of one service. The
// organisation's priority counts before the route's; in both, 0 is the most urgent.
type Urgency struct {
	Organisation int // neutralPriority for an organisation without a priority, and without organisations
	Route        int
}

// neutralPriority is that of an organisation for which none is stated: the middle of 0 to 9, so
// that the operator can put others before and after it.
const neutralPriority = 5

// Compare returns a negative number if u is more urgent than v, and 0 if neither is.
func (u Urgency) Compare(v Urgency) int {
	return cmp.Or(cmp.Compare(u.Organisation, v.Organisation), cmp.Compare(u.Route, v.Route))
}

// Class is a kind of request that competes with others for the backend servers of a service.
type Class struct {
	Urgency   Urgency
	Objective time.Duration // shortest objective of its routes; 0: none has one
}

// Competition lists the classes of the streams of one service. It is immutable.
//
// A service has one only if its routes state different priorities. Otherwise the
// configuration says of no request that it goes before another, and streams are served in
// the order in which they come.
type Competition struct {
	Classes []Class // most urgent first
}

// Rank returns the position of an urgency among the classes, 0 for the most urgent one. An
// urgency that is not among them gets the rank of the next less urgent class.
func (c *Competition) Rank(u Urgency) int {
	i, _ := slices.BinarySearchFunc(c.Classes, u, func(class Class, u Urgency) int { return class.Urgency.Compare(u) })
	return min(i, len(c.Classes)-1)
}

// Ranks returns the number of classes.
func (c *Competition) Ranks() int { return len(c.Classes) }

// TightestObjective returns the shortest objective of the classes that are at least as urgent
// as a rank; 0: none has one.
func (c *Competition) TightestObjective(rank int) time.Duration {
	var tightest time.Duration
	for _, class := range c.Classes[:min(rank+1, len(c.Classes))] {
		if class.Objective > 0 && (tightest == 0 || class.Objective < tightest) {
			tightest = class.Objective
		}
	}
	return tightest
}

// Competition returns the classes of the streams of a service, or nil if its routes don't
// state different priorities.
func (c *Config) Competition(service string) *Competition { return c.competitions[service] }

// Contended reports whether the routes of any service state different priorities: callers
// compete for backend servers, and the operator has said who goes first.
func (c *Config) Contended() bool { return len(c.competitions) > 0 }

// UrgencyOf returns the urgency of a request. owner is the organisation of its caller, nil
// without one.
func UrgencyOf(r *Route, owner *Organisation) Urgency {
	if owner == nil {
		return Urgency{neutralPriority, r.Priority}
	}
	return Urgency{owner.statedPriority(), r.Priority}
}

func (o *Organisation) statedPriority() int {
	if o.Priority < 0 {
		return neutralPriority
	}
	return o.Priority
}

// findCompetitions returns the competition of each service whose stream routes state
// different priorities.
func findCompetitions(routes []Route, organisations []KeyedOrganisation) map[string]*Competition {
	objectives := map[string]map[int]time.Duration{} // service -> priority -> shortest objective
	for i := range routes {
		r := &routes[i]
		if r.Kind != Stream || r.RefusalReason != "" {
			continue
		}
		for _, t := range r.Targets {
			if objectives[t.Service] == nil {
				objectives[t.Service] = map[int]time.Duration{}
			}
			shortest, known := objectives[t.Service][r.Priority]
			if !known || shortest == 0 || (r.Objective > 0 && r.Objective < shortest) {
				objectives[t.Service][r.Priority] = r.Objective
			}
		}
	}
	competitions := map[string]*Competition{}
	for service, byPriority := range objectives {
		if len(byPriority) > 1 {
			competitions[service] = newCompetition(byPriority, priorities(organisations))
		}
	}
	return competitions
}

// priorities returns the different priorities of organisations, as in UrgencyOf.
func priorities(organisations []KeyedOrganisation) []int {
	var all []int
	for _, o := range organisations {
		all = append(all, o.statedPriority())
	}
	if len(all) == 0 {
		all = append(all, neutralPriority)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func newCompetition(objectives map[int]time.Duration, organisations []int) *Competition {
	c := &Competition{}
	for _, organisation := range organisations {
		for route, objective := range objectives {
			c.Classes = append(c.Classes, Class{Urgency{organisation, route}, objective})
		}
	}
	slices.SortFunc(c.Classes, func(a, b Class) int { return a.Urgency.Compare(b.Urgency) })
	return c
}
