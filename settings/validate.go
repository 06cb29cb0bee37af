package settings

import (
	"net/netip"
	"regexp"

	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/text"
)

const (
	// minTokenLength is the length below which an administration token is reported as weak.
	minTokenLength = 16
	// minEventRing is the number of events that is enough to explain the last few
	// seconds of a process.
	minEventRing = 64
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

// Validate returns the findings of a router's settings.
func (r Router) Validate() findings.List {
	var list findings.List
	r.validate(&list)
	checkListen(&list, "/listen", r.Listen, true)
	checkDistinct(&list, map[string]string{"/listen": r.Listen, "/peerListen": r.PeerListen, "/adminListen": r.AdminListen})
	list.Sort()
	return list
}

// Validate returns the findings of a sidecar's settings.
func (s Sidecar) Validate() findings.List {
	var list findings.List
	s.validate(&list)
	checkName(&list, "/backendServer", s.BackendServer)
	checkName(&list, "/service", s.Service)
	if s.Kind != text.KindModel && s.Kind != text.KindPlain {
		list.Errorf("/kind", "%q is neither %s nor %s", s.Kind, text.KindModel, text.KindPlain)
	}
	validateBackend(&list, s.Backend)
	checkMinimum(&list, "/journalMegabytes", s.JournalMegabytes, 1)
	checkDistinct(&list, map[string]string{"/peerListen": s.PeerListen, "/adminListen": s.AdminListen, "/backend": s.Backend})
	list.Sort()
	return list
}

func (c Common) validate(list *findings.List) {
	checkName(list, "/id", string(c.ID))
	checkName(list, "/zone", string(c.Zone))
	checkListen(list, "/peerListen", c.PeerListen, true)
	checkListen(list, "/adminListen", c.AdminListen, false)
	c.validateAdvertise(list)
	c.validateToken(list)
	checkRemote(list, "/table", c.Table, true)
	checkRemote(list, "/objects", c.Objects, true)
	checkRemote(list, "/vmList", c.VMList, false)
	checkRemote(list, "/weights", c.Weights, false)
	for i, seed := range c.Seeds {
		checkRemote(list, findings.Pointer("seeds", i), seed, true)
	}
	if len(c.Seeds) == 0 && c.VMList == "" {
		list.Warnf("/seeds", "neither seeds nor vmList is set: the process can't find its peers by itself")
	}
	checkMinimum(list, "/eventRing", c.EventRing, minEventRing)
	checkMinimum(list, "/pollSeconds", c.PollSeconds, 1)
	checkMinimum(list, "/vmListLagSeconds", c.VMListLagSeconds, 1)
	checkMinimum(list, "/staleAfterSeconds", c.StaleAfterSeconds, 0)
	checkMinimum(list, "/drainSeconds", c.DrainSeconds, 0)
	switch c.LogLevel {
	case LogDebug, LogInfo, LogWarn, LogError:
	default:
		list.Errorf("/logLevel", "%q is not one of debug, info, warn, error", c.LogLevel)
	}
}

// validateAdvertise rejects an address at which peers can't reach this process: they
// would connect to their own machine, or fail to connect.
func (c Common) validateAdvertise(list *findings.List) {
	if c.Advertise != "" {
		checkRemote(list, "/advertise", c.Advertise, true)
		return
	}
	if addr, err := netip.ParseAddrPort(c.PeerListen); err == nil && addr.Addr().IsUnspecified() {
		list.Errorf("/advertise", "needed, since peerListen %s names no address that others can reach", c.PeerListen)
	}
}

func (c Common) validateToken(list *findings.List) {
	switch {
	case c.AdminListen == "":
	case c.AdminToken == "":
		list.Errorf("/adminToken", "needed with adminListen")
	case len(c.AdminToken) < minTokenLength:
		list.Warnf("/adminToken", "shorter than %d characters", minTokenLength)
	}
}

func checkName(list *findings.List, pointer, value string) {
	switch {
	case value == "":
		list.Errorf(pointer, "needed")
	case !namePattern.MatchString(value):
		list.Errorf(pointer, "%q is not a valid name: need 1 to 128 letters, digits and . _ : / -, the first a letter or digit", value)
	}
}

// checkListen checks an address to listen on; with port 0 the system chooses a port.
func checkListen(list *findings.List, pointer, value string, required bool) {
	if value == "" && !required {
		return
	}
	if value == "" {
		list.Errorf(pointer, "needed")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		list.Errorf(pointer, "%q is not an ip:port", value)
	}
}

// checkRemote checks an address to connect to.
func checkRemote(list *findings.List, pointer, value string, required bool) {
	if value == "" {
		if required {
			list.Errorf(pointer, "needed")
		}
		return
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		list.Errorf(pointer, "%q is not an ip:port to connect to", value)
	}
}

// validateBackend checks the backend server's address. The server must be reachable
// only through its sidecar: on any other interface than loopback, callers could
// bypass the sidecar's gate.
func validateBackend(list *findings.List, value string) {
	checkRemote(list, "/backend", value, true)
	if addr, err := netip.ParseAddrPort(value); err == nil && !addr.Addr().IsLoopback() {
		list.Errorf("/backend", "%s is not on the loopback interface", value)
	}
}

func checkMinimum(list *findings.List, pointer string, value, minimum int) {
	if value < minimum {
		list.Errorf(pointer, "%d is below the least value allowed, %d", value, minimum)
	}
}

// checkDistinct reports each pair of settings with the same address, once. Port 0 is
// exempt, since the system chooses a different port for each listener.
func checkDistinct(list *findings.List, addresses map[string]string) {
	for pointer, value := range addresses {
		for other, otherValue := range addresses {
			if value != "" && value == otherValue && other < pointer && !hasPortZero(value) {
				list.Errorf(pointer, "%s is also the address of %s", value, other)
			}
		}
	}
}

func hasPortZero(value string) bool {
	addr, err := netip.ParseAddrPort(value)
	return err == nil && addr.Port() == 0
}
