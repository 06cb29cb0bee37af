package routebench

import "time"

// fault is the fault injected into a run.
type fault string

const (
	noFault      fault = "steady"
	oneSlow      fault = "one runner ten times slower"
	oneReplaced  fault = "one runner replaced"
	zoneReturned fault = "zone lost and returned" // measured after the return
	zoneLost     fault = "zone lost"              // the same fault, measured before the return
	tenthDies    fault = "a tenth of the runners dies under full load"
)

const (
	slowdown = 10       // factor by which the steps of the slow runner are longer
	lostZone = "zone-0" // the zone of zoneReturned and zoneLost
)

// schedule schedules the start of the fault and, if it ends, its end.
func (f fault) schedule(s *sim) {
	switch f {
	case oneSlow:
		s.clock.after(faultAt, func() { s.runners[0].slowdown = slowdown })
		s.clock.after(returnAt, func() { s.runners[0].slowdown = 1 })
	case oneReplaced:
		s.clock.after(faultAt, func() {
			s.runners[0].die()
			s.runners[0].start()
			s.membershipChanged()
		})
	case zoneReturned, zoneLost:
		s.clock.after(faultAt, func() { s.kill(func(r *runner) bool { return r.zone == lostZone }) })
		s.clock.after(returnAt, s.restartDead)
	case tenthDies:
		s.clock.after(faultAt, func() { s.kill(func(r *runner) bool { return r.index%10 == 0 }) })
	}
}

func (s *sim) kill(which func(*runner) bool) {
	for _, r := range s.runners {
		if which(r) {
			r.die()
		}
	}
	s.membershipChanged()
}

func (s *sim) restartDead() {
	for _, r := range s.runners {
		if !r.alive {
			r.start()
		}
	}
	s.membershipChanged()
}

// affects reports whether the fault concerns r.
func (f fault) affects(r *runner) bool {
	switch f {
	case oneSlow, oneReplaced:
		return r.index == 0
	case zoneReturned, zoneLost:
		return r.zone == lostZone
	case tenthDies:
		return r.index%10 == 0
	}
	return false
}

// window returns the start and end of the time over which a run is measured.
func (f fault) window() (time.Duration, time.Duration) {
	switch f {
	case oneSlow, zoneLost:
		return faultAt, returnAt
	case oneReplaced, tenthDies:
		return faultAt, faultAt + 40*time.Second
	case zoneReturned:
		return returnAt, returnAt + 40*time.Second
	}
	return warmUp, runFor
}
