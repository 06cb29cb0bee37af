package site_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/site"
)

func streamRoute(service string, priority int, objective time.Duration) site.Route {
	return site.Route{Host: "h", Prefix: "/" + service + "/", Kind: site.Stream, Priority: priority, Objective: objective, Targets: []site.Target{{Service: service, Weight: 1}}}
}

func organisation(name string, priority int) site.KeyedOrganisation {
	return site.KeyedOrganisation{Organisation: site.Organisation{Name: name, Priority: priority}, Keys: []string{"key-" + name}}
}

func TestServiceHasCompetitionOnlyIfItsRoutesStateDifferentPriorities(t *testing.T) {
	g := NewWithT(t)
	orgs := []site.KeyedOrganisation{organisation("a", 0), organisation("b", 1)}
	c := site.New(1, []site.Route{
		streamRoute("contended", 0, 4*time.Second), streamRoute("contended", 2, 10*time.Second),
		streamRoute("equal", 1, 4*time.Second), streamRoute("equal", 1, 5*time.Second),
	}, nil, orgs, site.ClientLimits{})
	g.Expect(c.Contended()).To(BeTrue())
	g.Expect(c.Competition("equal")).To(BeNil(), "priorities of organisations alone put no stream before another")
	g.Expect(c.Competition("unknown")).To(BeNil())
	g.Expect(c.Competition("contended").Ranks()).To(Equal(4))
}

func TestOrganisationsPriorityCountsBeforeTheRoutes(t *testing.T) {
	g := NewWithT(t)
	orgs := []site.KeyedOrganisation{organisation("a", 0), organisation("b", 1)}
	routes := []site.Route{streamRoute("s", 0, 4*time.Second), streamRoute("s", 1, 5*time.Second), streamRoute("s", 2, 10*time.Second)}
	c := site.New(1, routes, nil, orgs, site.ClientLimits{}).Competition("s")
	rank := func(priority, route int) int {
		return c.Rank(site.UrgencyOf(&routes[route], &site.Organisation{Priority: priority}))
	}
	g.Expect([]int{rank(0, 0), rank(0, 1), rank(0, 2), rank(1, 0), rank(1, 1), rank(1, 2)}).To(Equal([]int{0, 1, 2, 3, 4, 5}))
	g.Expect(rank(-1, 0)).To(Equal(5), "an organisation without a priority comes after those with a high one")
	g.Expect(c.TightestObjective(2)).To(Equal(4 * time.Second))
}

func TestObjectiveOfAClassIsTheShortestOfItsRoutes(t *testing.T) {
	g := NewWithT(t)
	c := site.New(1, []site.Route{
		streamRoute("s", 0, 0), streamRoute("s", 0, 7*time.Second), streamRoute("s", 0, 4*time.Second), streamRoute("s", 1, 2*time.Second),
	}, nil, nil, site.ClientLimits{}).Competition("s")
	g.Expect(c.Classes[0].Objective).To(Equal(4 * time.Second))
	g.Expect(c.TightestObjective(0)).To(Equal(4 * time.Second))
	g.Expect(c.TightestObjective(1)).To(Equal(2 * time.Second))
}
