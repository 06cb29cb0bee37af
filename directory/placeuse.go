package directory

import (
	"sync"
	"time"
)

// slowShare is the part of the limit after which a call takes longer than usual: it is
// reported to peers even if its server is believed to have free places.
const slowShare = 1.0 / 3

// PlaceUse is a plain call at a server of a service whose places are shared.
type PlaceUse struct {
	directory *Directory
	service   *placeService
	server    *Server
	began     time.Time
	limit     time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	slow    bool
	overdue bool
	ended   bool
}

// BeginPlace counts a plain call until its End. objective is that of its route, 0 without one.
func (d *Directory) BeginPlace(s *Server, objective time.Duration) *PlaceUse {
	p := d.placeService(s.Service)
	u := &PlaceUse{directory: d, service: p, server: s, began: time.Now(), limit: hangLimit(time.Duration(p.usualTime.Load()), objective)}
	s.calls.Add(1)
	d.places.notify()
	if u.limit > 0 {
		p.limit.Store(int64(u.limit))
		u.mu.Lock()
		defer u.mu.Unlock()
		u.timer = time.AfterFunc(time.Duration(slowShare*float64(u.limit)), u.becomeSlow)
	}
	return u
}

// becomeSlow counts the call as one that takes longer than usual, and waits until it is overdue.
func (u *PlaceUse) becomeSlow() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return
	}
	u.slow = true
	u.server.hanging.slow.Add(1)
	u.directory.places.notify()
	u.timer = time.AfterFunc(time.Until(u.began.Add(u.limit)), u.confirm)
}

// confirm waits for the answer a little longer.
func (u *PlaceUse) confirm() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ended {
		u.timer = time.AfterFunc(overdueConfirmation, u.becomeOverdue)
	}
}

func (u *PlaceUse) becomeOverdue() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return
	}
	u.overdue = true
	u.server.hanging.overdue.Add(1)
	u.server.hanging.good.Store(0)
	u.directory.judgeHanging(u.service, u.server, time.Now())
	u.directory.places.notify()
}

// End ends the call. good is set if the server has answered it, and not with an error.
func (u *PlaceUse) End(good bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return
	}
	u.ended = true
	if u.timer != nil {
		u.timer.Stop()
	}
	u.server.calls.Add(-1)
	if u.slow {
		u.server.hanging.slow.Add(-1)
	}
	if u.overdue {
		u.server.hanging.overdue.Add(-1)
	}
	if good {
		u.recordAnswer(time.Now())
	}
	u.directory.places.notify()
}

// recordAnswer records a good answer and its time.
func (u *PlaceUse) recordAnswer(now time.Time) {
	took := now.Sub(u.began)
	h := &u.server.hanging
	h.recordAnswerAt(now)
	if h.since.Load() == 0 {
		u.service.recordTime(took)
		return
	}
	if u.overdue {
		return
	}
	h.good.Add(1)
	u.directory.judgeHanging(u.service, u.server, now)
}

// usual returns the usual time of a call; before any answer, what it is taken to be.
func (p *placeService) usual() time.Duration {
	if usual := p.usualTime.Load(); usual != 0 {
		return time.Duration(usual)
	}
	return time.Duration(p.limit.Load() / hangFactor)
}

// recordTime records the time of a call. Concurrent measurements may replace each other.
func (p *placeService) recordTime(took time.Duration) {
	usual := p.usualTime.Load()
	if usual == 0 {
		p.usualTime.Store(int64(took))
		return
	}
	sample := min(int64(took), usualTimeClip*usual)
	p.usualTime.Store(usual + int64(usualTimeGain*float64(sample-usual)))
}
