package routebench

import "time"

// fault is the fault injected into a run.
type fault string

const (
	noFault      fault = "steady"
	oneSlow      fault = "one runner ten times slower"
	oneStarted   fault = "one runner replaced"
	zoneLost     fault = "zone lost and returned"
	zoneGone     fault = "zone lost"
	tenthDies    fault = "a tenth of the runners dies under full load"
	slowdown           = 10
	zoneOfRunner       = "zone-0"
)

func (f fault) schedule(s *sim) {
	switch f {
	case oneSlow:
		s.clock.after(faultAt, func() { s.runners[0].slowdown = slowdown })
		s.clock.after(returnAt, func() { s.runners[0].slowdown = 1 })
	case oneStarted:
		s.clock.after(faultAt, func() {
			s.runners[0].die()
			s.runners[0].start()
			s.membershipChanged()
		})
	case zoneLost, zoneGone:
		s.clock.after(faultAt, func() { s.kill(func(r *runner) bool { return r.zone == zoneOfRunner }) })
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
	case oneSlow, oneStarted:
		return r.index == 0
	case zoneLost, zoneGone:
		return r.zone == zoneOfRunner
	case tenthDies:
		return r.index%10 == 0
	}
	return false
}

// window returns the start and end of the time over which a run is measured.
func (f fault) window() (time.Duration, time.Duration) {
	switch f {
	case oneSlow, zoneGone:
		return faultAt, returnAt
	case oneStarted, tenthDies:
		return faultAt, faultAt + 40*time.Second
	case zoneLost:
		return returnAt, returnAt + 40*time.Second
	}
	return warmUp, runFor
}
