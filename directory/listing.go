package directory

import (
	"net/netip"
	"time"
)

// Listing is one entry of the list of backend servers.
type Listing struct {
	ID       string
	Born     int64 // start time of the process that wrote the entry; see Start
	Service  string
	Address  string // ip:port
	Zone     string
	Version  string // of its software; empty: unknown
	Slots    int    // number of requests that it runs at a time
	Draining bool
	Cold     time.Duration // how much longer it is slow after its start

	// Invalid is the reason why the entry can't be used; empty if it can. Invalid entries
	// stay in lists, since they are treated differently from missing ones; see Apply.
	Invalid string
}

// Start returns the start that wrote the entry.
func (l Listing) Start() Start { return Start{ID: l.ID, Born: l.Born} }

const (
	// maxSlots is far above what one server runs. A larger value is a mistake of its
	// writer, and load totals could overflow with it.
	maxSlots = 1 << 20
	// maxCold is far above the time for which a server is slow after its start.
	maxCold = time.Hour
	// maxIDLength is the length limit of an id in bytes: that of a row's key in the store.
	maxIDLength = 200
	// maxNameLength is the length limit of other names in bytes. Log lines show them, and
	// datagrams hold 255 bytes.
	maxNameLength = 200
	// maxReasonLength is the length limit of a reason in bytes: errors quote the value that
	// could not be parsed, which may be a number of 100 KB.
	maxReasonLength = 160
)

// Checked returns the listing with Invalid set if it can't be used, and otherwise with
// its numbers and names within bounds. Every decoder of listings must call it: entries may come
// from any writer, and requests sent to a server without an address would fail.
func (l Listing) Checked() Listing {
	if l.Invalid == "" {
		l.Invalid = l.invalidReason()
	}
	if l.Invalid != "" {
		return Listing{ID: l.ID, Invalid: l.Invalid[:min(len(l.Invalid), maxReasonLength)]}
	}
	l.Slots = min(max(0, l.Slots), maxSlots)
	l.Cold = min(max(0, l.Cold), maxCold)
	l.Born = CheckedBorn(l.Born)
	l.Zone, l.Version = checkedName(l.Zone), checkedName(l.Version)
	return l
}

// checkedName returns a name, and "" (unknown) for one that is too long.
func checkedName(name string) string {
	if len(name) > maxNameLength {
		return ""
	}
	return name
}

// invalidReason returns the reason why a server of this listing can't be called, or "".
func (l Listing) invalidReason() string {
	switch {
	case !ValidID(l.ID):
		return "its id can't be a header's value"
	case l.Service == "":
		return ReasonNoService
	case len(l.Service) > maxNameLength:
		return "its service's name is too long"
	case l.Address == "":
		return "it has no address"
	case !ValidAddress(l.Address):
		return "its address is not ip:port"
	default:
		return ""
	}
}

// ReasonNoService is the reason of an entry without a service. Peers pass an invalid entry
// on without its service and reason, so it is also the reason of every invalid entry that
// comes from a peer.
const ReasonNoService = "it has no service"

// ValidID reports whether an id can be sent as a header value and stored: it must be
// printable ASCII without spaces, of at most maxIDLength bytes. An id with a line break
// could inject headers into the request.
func ValidID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

// ValidAddress reports whether an address is the ip:port of one host. A host name would
// need a lookup for each request, 0.0.0.0 is this VM itself, and an IPv6 scope
// (fe80::1%eth0) may contain any byte.
func ValidAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		return false
	}
	ip := a.Addr()
	return ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast()
}
