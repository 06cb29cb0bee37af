package directory

import "time"

// RateLimit is what a server last said about the requests that it takes: a server in need
// names a limit, which is in force until an answer of it names none.
type RateLimit struct {
	Limited   bool
	PerSecond float64   // requests a second from all entry VMs together; 0 unless Limited
	At        time.Time // when the server said so
	ByPeer    bool      // it said so to a peer
}

// limitTrialInterval is how long a server that has named a limit is avoided. Then it gets
// the next request that its limit allows: only its answers tell whether it has recovered.
const limitTrialInterval = 2 * time.Second

// inForceAt reports whether the server has named the limit a short time ago.
func (l RateLimit) inForceAt(now time.Time) bool {
	return l.Limited && now.Sub(l.At) < limitTrialInterval
}

// liftedLimitTTL is how long the end of a limit is kept, to be told to other entry VMs.
const liftedLimitTTL = 5 * time.Second

// ReportRateLimit records that an answer named a limit.
func (s *Server) ReportRateLimit(perSecond float64, now time.Time) {
	s.setRateLimit(RateLimit{Limited: true, PerSecond: perSecond, At: now})
}

// ReportNoRateLimit records that an answer named no limit. It ends a limit only if the
// request was sent after the limit was last named: answers may overtake each other.
func (s *Server) ReportNoRateLimit(sentAt, now time.Time) {
	old := s.rateLimit.Load()
	if old != nil && old.Limited && sentAt.After(old.At) {
		s.setRateLimit(RateLimit{At: now})
	}
}

// RateLimit returns the limit that the server last named.
func (s *Server) RateLimit() RateLimit {
	if l := s.rateLimit.Load(); l != nil {
		return *l
	}
	return RateLimit{}
}

// setRateLimit replaces what is known of the limit by something newer.
func (s *Server) setRateLimit(l RateLimit) {
	for {
		old := s.rateLimit.Load()
		if old != nil && !l.At.After(old.At) {
			return
		}
		if s.rateLimit.CompareAndSwap(old, &l) {
			if old == nil || old.Limited != l.Limited || old.PerSecond != l.PerSecond {
				s.onLimitChange()
			}
			return
		}
	}
}

// LimitedServer is a server with what is known of its limit.
type LimitedServer struct {
	*Server
	RateLimit
}

// RateLimits returns the servers that have a limit, or had one until a short time ago.
func (d *Directory) RateLimits(now time.Time) []LimitedServer {
	var out []LimitedServer
	for _, s := range d.view.Load().byID {
		l := s.RateLimit()
		if l.Limited || (!l.At.IsZero() && now.Sub(l.At) < liftedLimitTTL) {
			out = append(out, LimitedServer{s, l})
		}
	}
	return out
}

// RecordPeerRateLimit records what a server has said of its limit to a peer.
func (d *Directory) RecordPeerRateLimit(server uint32, l RateLimit) {
	s := d.view.Load().byHash[server]
	if s == nil {
		d.droppedReports.Add(1)
		return
	}
	l.ByPeer = true
	s.setRateLimit(l)
}

// LimitChanged returns a channel that holds a token after a server's limit has changed.
func (d *Directory) LimitChanged() <-chan struct{} { return d.limitChanged }

func (d *Directory) notifyLimitChanged() {
	select {
	case d.limitChanged <- struct{}{}:
	default:
	}
}
