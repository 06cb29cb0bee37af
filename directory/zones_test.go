package directory

import (
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// demandIn returns how much of a zone's usual traffic arrives at a time: waves that come to
// each zone at another moment.
func demandIn(zone int, at time.Duration) float64 {
	const period = 15 * time.Second
	return 1 + 0.95*math.Sin(2*math.Pi*(float64(at)/float64(period)+float64(zone)/modelZones))
}

// arriveInWaves has streams arrive at a rate per second and server, twice as many in the
// first zone as in each other one. placed is called after each has been placed.
func (m *modelSite) arriveInWaves(rate float64, during time.Duration, placed func(*modelStream)) {
	byZone := map[string][]*modelVM{}
	for _, vm := range m.vms {
		byZone[vm.zone] = append(byZone[vm.zone], vm)
	}
	for zone := range modelZones {
		vms := byZone[string(rune('a'+zone))]
		peak := 2 * rate * float64(len(m.engines)) / (modelZones + 1)
		if zone == 0 {
			peak *= 2
		}
		gap := float64(time.Second) / peak
		for at := 0.0; at < float64(during); at += gap * m.random.ExpFloat64() {
			if m.random.Float64() < demandIn(zone, time.Duration(at))/2 {
				m.after(time.Duration(at), func() {
					m.beginAt(vms[m.random.IntN(len(vms))])
					placed(m.streams[len(m.streams)-1])
				})
			}
		}
	}
}

// zonesPlayed is what became of the streams of a play.
type zonesPlayed struct {
	late, all int
	ownZone   float64 // share of streams in the zone of their VM
	waiting   int     // placed behind a queued prompt although another server had none
}

func playZones(t *testing.T, rate float64) (p zonesPlayed) {
	synctest.Test(t, func(*testing.T) {
		site, begun := newModelSite(24, 4, evenSpeed), time.Now()
		for _, vm := range site.vms {
			for _, s := range vm.directory.View().Service("s") {
				s.RecordDisturbance(UsualDisturbance, time.Now())
			}
		}
		site.arriveInWaves(rate, unevenFor, func(s *modelStream) {
			if s.begun.Sub(begun) > startupPeriod && s.waitsThoughRoom() {
				p.waiting++
			}
		})
		site.run()
		p.late, _, p.all = site.outcomes(begun.Add(startupPeriod))
		own := 0
		for _, s := range site.streams {
			if s.server.Zone == s.vm.zone {
				own++
			}
		}
		p.ownZone = float64(own) / float64(len(site.streams))
	})
	t.Logf("%+v", p)
	return p
}

// waitsThoughRoom reports whether a stream that was just placed has a prompt ahead of it
// although its VM knows servers without one.
func (s *modelStream) waitsThoughRoom() bool {
	if s.server.QueuedTokens() < int64(s.prompt)+minSampleTokens {
		return false
	}
	return slices.ContainsFunc(s.vm.directory.View().Service("s"), func(other *Server) bool { return other.QueuedTokens() == 0 })
}

// One zone gets twice the traffic of the others, and demand comes to each zone in waves.
// Guards against streams that wait behind a full zone while another has room, and against
// most of them leaving their zone although all have room.
func TestStreamsLeaveFullZones(t *testing.T) {
	for name, c := range map[string]struct {
		rate    float64 // streams a second and server
		ownZone float64 // share at least
	}{
		"room everywhere":      {0.1, 0.5},
		"little room at peaks": {0.2, 0},
		"full zones":           {0.4, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := playZones(t, c.rate)
			g.Expect(p.ownZone).To(gomega.BeNumerically(">=", c.ownZone))
			g.Expect(p.late).To(gomega.BeNumerically("<=", p.all/20))
			g.Expect(p.waiting).To(gomega.BeNumerically("<=", p.all/200))
		})
	}
}
