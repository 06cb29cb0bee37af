package fleet

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// electionAmong returns the election of a VM that has heard of others.
func electionAmong(address string, healthy bool, others map[string]announcement) *Election {
	socket := NewSocket(address, func() []string { return nil }, nil)
	e := NewElection(ElectionOptions{Address: address, Socket: socket, Mark: func(Subject) Mark { return Mark{Position: 1} }, Size: func() int { return 1 + len(others) }})
	e.elected.Store(true)
	for s := range subjects {
		e.healthy[s].Store(healthy)
	}
	for other, a := range others {
		e.updateMember(other, header{incarnation: 1}, a, time.Now())
	}
	return e
}

// All VMs must take the same two for the deciders, and none that is about to stop.
func TestVMsAgreeOnDeciders(t *testing.T) {
	g := gomega.NewWithT(t)
	state := map[string]announcement{"a:1": {healthy: true}, "b:1": {healthy: true}, "c:1": {healthy: false}, "d:1": {healthy: true, stopping: true}, "e:1": {healthy: true}}
	var first []string
	for self := range state {
		if state[self].stopping {
			continue
		}
		others := map[string]announcement{}
		for other, a := range state {
			if other != self {
				others[other] = a
			}
		}
		deciders := electionAmong(self, state[self].healthy, others).deciders()
		g.Expect(deciders).To(gomega.HaveLen(deciderCount))
		g.Expect(deciders).NotTo(gomega.ContainElements("c:1", "d:1"))
		if first == nil {
			first = deciders
		}
		g.Expect(deciders).To(gomega.Equal(first))
	}
}

// A VM that hears nobody must not judge: it would revert a good version for want of answers.
func TestIsolatedVMDecidesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	e := electionAmong("a:1", true, nil)
	g.Expect(e.DeciderRank()).To(gomega.Equal(0))
	e.opts.Size = func() int { return 31 }
	g.Expect(e.DeciderRank()).To(gomega.BeNumerically("<", 0))
}

// While the store answers nobody there must be deciders: a bad version has to stop.
func TestDecidersWithoutStore(t *testing.T) {
	g := gomega.NewWithT(t)
	e := electionAmong("a:1", false, map[string]announcement{"b:1": {}, "c:1": {}})
	g.Expect(e.deciders()).To(gomega.HaveLen(deciderCount))
}
