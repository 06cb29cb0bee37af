package directory

import (
	"net/netip"
	"time"
)

// Listing is one entry of the list of backend servers.
type Listing struct {
	ID       string
	Born     int64 // of the start that listed itself; see Start
	Service  string
	Address  string // ip:port
	Zone     string
	Slots    int
	Draining bool
	Cold     time.Duration // how much longer it is slow after its start

	// Invalid says why the entry names no server; empty: it names one. Such an
	// entry stays in lists, as it differs from one that is missing: see Apply.
	Invalid string
}

// Start returns the start that listed itself.
func (l Listing) Start() Start { return Start{ID: l.ID, Born: l.Born} }

const (
	// maxSlots is far above what one server runs. A larger figure is a mistake
	// of its writer, and sums of load would overflow with it.
	maxSlots = 1 << 20
	// maxCold is far above what a start takes.
	maxCold = time.Hour
	// maxID is the longest key of a row in the store.
	maxID = 200
	// maxReason bounds a reason in bytes: errors repeat what they could not read,
	// which may be a number of 100 KB.
	maxReason = 160
)

// Checked returns a listing with Invalid set if it names no server, and with
// figures within bounds. Whoever decodes a listing calls it: entries may come
// from any writer, and one without an address took requests that then failed.
func (l Listing) Checked() Listing {
	if l.Invalid == "" {
		l.Invalid = l.fault()
	}
	if l.Invalid != "" {
		return Listing{ID: l.ID, Invalid: l.Invalid[:min(len(l.Invalid), maxReason)]}
	}
	l.Slots = min(max(0, l.Slots), maxSlots)
	l.Cold = min(max(0, l.Cold), maxCold)
	return l
}

// fault says what a server can't be called without.
func (l Listing) fault() string {
	switch {
	case !ValidID(l.ID):
		return "its id can't be a header's value"
	case l.Service == "":
		return FaultNoService
	case l.Address == "":
		return "it has no address"
	case !ValidAddress(l.Address):
		return "its address is not ip:port"
	default:
		return ""
	}
}

// FaultNoService is why an entry without a service names no server. It is also
// all that a peer hands on of an entry that names none for any reason.
const FaultNoService = "it has no service"

// ValidID tells whether an id can be sent as a header's value: printable ASCII.
//
// The rest of an id with a line break would be read as headers of the request.
func ValidID(id string) bool {
	if id == "" || len(id) > maxID {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

// ValidAddress tells whether an address is ip:port of one host. A name would be
// looked up on the path of requests, 0.0.0.0 is this VM itself, and a scope
// (fe80::1%eth0) may hold any byte.
func ValidAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		return false
	}
	ip := a.Addr()
	return ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast()
}
