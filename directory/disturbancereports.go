package directory

import "time"

// DisturbanceReport is the newest figure that a server has reported.
type DisturbanceReport struct {
	Server uint32 // hash of its start
	Figure float64
	Age    time.Duration
}

// maxUnsentDisturbances bounds the servers whose reports wait to be sent to peers.
const maxUnsentDisturbances = 1024

// OnDisturbanceReported sets a function that is called once for each service, when the
// first of its servers has reported to this process or a peer how long work takes on its
// machine. It must be set before the first list.
func (d *Directory) OnDisturbanceReported(f func(service string)) { d.onDisturbanceReported = f }

// ReportsDisturbance reports whether servers of a service report how long work takes on
// their machines.
func (d *Directory) ReportsDisturbance(service string) bool {
	shared, ok := d.disturbances.Load(service)
	return ok && shared.(*disturbances).reported.Load()
}

// disturbancesOf returns what the servers of a service have in common.
func (d *Directory) disturbancesOf(service string) *disturbances {
	shared, ok := d.disturbances.Load(service)
	if !ok {
		shared, _ = d.disturbances.LoadOrStore(service, newDisturbances())
	}
	return shared.(*disturbances)
}

// noteDisturbanceReported calls the function for services whose servers report, if this is
// the service's first report.
func (d *Directory) noteDisturbanceReported(s *Server) {
	if !s.disturbances.reported.Swap(true) && d.onDisturbanceReported != nil {
		d.onDisturbanceReported(s.Service)
	}
}

// queueDisturbance has a server's newest report sent to peers.
func (d *Directory) queueDisturbance(s *Server) {
	d.noteDisturbanceReported(s)
	d.unsentMu.Lock()
	if len(d.unsentDisturbances) < maxUnsentDisturbances {
		d.unsentDisturbances[s.startHash] = s
	}
	d.unsentMu.Unlock()
	select {
	case d.disturbanceChanged <- struct{}{}:
	default:
	}
}

// DisturbanceChanged returns a channel that holds a token after a server has reported a
// figure that peers don't expect.
func (d *Directory) DisturbanceChanged() <-chan struct{} { return d.disturbanceChanged }

// TakeUnsentDisturbances returns the newest figures of at most n servers that have reported
// one that peers don't expect, and whether there are more.
func (d *Directory) TakeUnsentDisturbances(n int, now time.Time) (reports []DisturbanceReport, more bool) {
	d.unsentMu.Lock()
	defer d.unsentMu.Unlock()
	for hash, s := range d.unsentDisturbances {
		if len(reports) == n {
			return reports, true
		}
		delete(d.unsentDisturbances, hash)
		r := s.disturbance.Load()
		reports = append(reports, DisturbanceReport{Server: hash, Figure: r.newest.value, Age: max(0, now.Sub(r.newest.at))})
	}
	return reports, false
}

// RecordPeerDisturbance records a report of a peer. One of a start that is not known here is
// dropped.
func (d *Directory) RecordPeerDisturbance(r DisturbanceReport, now time.Time) {
	s := d.view.Load().byHash[r.Server]
	if s == nil {
		d.droppedReports.Add(1)
		return
	}
	if s.recordPeerDisturbance(figure{r.Figure, now.Add(-r.Age)}) {
		d.noteDisturbanceReported(s)
	}
}

// ServiceDisturbance summarises what the servers of a service have reported.
type ServiceDisturbance struct {
	Service   string
	Disturbed int           // servers on which work is expected to take notably longer than usual
	Decay     time.Duration // after which a report has lost most of its meaning
}

// Disturbances returns a summary for each service whose servers report.
func (d *Directory) Disturbances(now time.Time) []ServiceDisturbance {
	var all []ServiceDisturbance
	view := d.view.Load()
	for _, service := range view.Services() {
		if !d.ReportsDisturbance(service) {
			continue
		}
		summary := ServiceDisturbance{Service: service, Decay: d.disturbancesOf(service).decayTime()}
		for _, s := range view.Service(service) {
			if s.DisturbanceFactor(0, now) >= disturbedFactor {
				summary.Disturbed++
			}
		}
		all = append(all, summary)
	}
	return all
}

// LongDisturbance is a server whose reports have said for long that its machine is disturbed.
type LongDisturbance struct {
	*Server
	Figure, Usual float64
	For           time.Duration
}

// LongDisturbances returns the servers whose reports have said for longDisturbance, without
// one that says otherwise, that work takes notably longer than usual.
func (d *Directory) LongDisturbances(now time.Time) []LongDisturbance {
	var long []LongDisturbance
	for _, s := range d.view.Load().byID {
		r := s.disturbance.Load()
		if r == nil || r.since.IsZero() || r.newest.at.Sub(r.since) < longDisturbance || now.Sub(r.newest.at) > longDisturbance {
			continue
		}
		long = append(long, LongDisturbance{Server: s, Figure: r.newest.value, Usual: r.usual, For: now.Sub(r.since)})
	}
	return long
}
