package settings

import (
	"net/netip"
	"regexp"

	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/text"
)

const (
	// minTokenLength is the length under which an administration token is weak.
	minTokenLength = 16
	// minEventRing keeps enough events to explain the last few seconds.
	minEventRing = 64
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

// Validate returns what is wrong with a router's settings.
func (r Router) Validate() findings.List {
	var list findings.List
	r.validate(&list)
	listen(&list, "/listen", r.Listen, true)
	distinct(&list, map[string]string{"/listen": r.Listen, "/peerListen": r.PeerListen, "/adminListen": r.AdminListen})
	list.Sort()
	return list
}

// Validate returns what is wrong with a sidecar's settings.
func (s Sidecar) Validate() findings.List {
	var list findings.List
	s.validate(&list)
	name(&list, "/backendServer", s.BackendServer)
	name(&list, "/service", s.Service)
	if s.Kind != text.KindModel && s.Kind != text.KindPlain {
		list.Errorf("/kind", "%q is neither %s nor %s", s.Kind, text.KindModel, text.KindPlain)
	}
	validateBackend(&list, s.Backend)
	atLeast(&list, "/journalMegabytes", s.JournalMegabytes, 1)
	distinct(&list, map[string]string{"/peerListen": s.PeerListen, "/adminListen": s.AdminListen, "/backend": s.Backend})
	list.Sort()
	return list
}

func (c Common) validate(list *findings.List) {
	name(list, "/id", string(c.ID))
	name(list, "/zone", string(c.Zone))
	listen(list, "/peerListen", c.PeerListen, true)
	listen(list, "/adminListen", c.AdminListen, false)
	c.validateAdvertise(list)
	c.validateToken(list)
	remote(list, "/table", c.Table, true)
	remote(list, "/objects", c.Objects, true)
	remote(list, "/vmList", c.VMList, false)
	remote(list, "/weights", c.Weights, false)
	for i, seed := range c.Seeds {
		remote(list, findings.Pointer("seeds", i), seed, true)
	}
	if len(c.Seeds) == 0 && c.VMList == "" {
		list.Warnf("/seeds", "neither seeds nor a VM list: the process finds no peers by itself")
	}
	atLeast(list, "/eventRing", c.EventRing, minEventRing)
	atLeast(list, "/pollSeconds", c.PollSeconds, 1)
	atLeast(list, "/vmListLagSeconds", c.VMListLagSeconds, 1)
	atLeast(list, "/staleAfterSeconds", c.StaleAfterSeconds, 0)
	atLeast(list, "/drainSeconds", c.DrainSeconds, 0)
	switch c.LogLevel {
	case LogDebug, LogInfo, LogWarn, LogError:
	default:
		list.Errorf("/logLevel", "%q is none of debug, info, warn, error", c.LogLevel)
	}
}

// validateAdvertise stops an address that reaches another machine or none from
// being told to the peers.
func (c Common) validateAdvertise(list *findings.List) {
	if c.Advertise != "" {
		remote(list, "/advertise", c.Advertise, true)
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

func name(list *findings.List, pointer, value string) {
	switch {
	case value == "":
		list.Errorf(pointer, "needed")
	case !namePattern.MatchString(value):
		list.Errorf(pointer, "%q is not a name: letters, digits and . _ : / - only", value)
	}
}

// listen checks an address to listen on; port 0 lets the system choose one.
func listen(list *findings.List, pointer, value string, required bool) {
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

// remote checks an address to connect to.
func remote(list *findings.List, pointer, value string, required bool) {
	if value == "" {
		if required {
			list.Errorf(pointer, "needed")
		}
		return
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		list.Errorf(pointer, "%q is not an ip:port that can be reached", value)
	}
}

// validateBackend guards the rule that the sidecar is the only way into its
// server: one that listens beyond the loopback interface could be reached past
// the sidecar's gate.
func validateBackend(list *findings.List, value string) {
	remote(list, "/backend", value, true)
	if addr, err := netip.ParseAddrPort(value); err == nil && !addr.Addr().IsLoopback() {
		list.Errorf("/backend", "%s is not on the loopback interface", value)
	}
}

func atLeast(list *findings.List, pointer string, value, least int) {
	if value < least {
		list.Errorf(pointer, "%d is below the least value allowed, %d", value, least)
	}
}

// distinct reports addresses that two listeners share.
func distinct(list *findings.List, addresses map[string]string) {
	for pointer, value := range addresses {
		for other, same := range addresses {
			if value != "" && value == same && other < pointer && !systemChosen(value) {
				list.Errorf(pointer, "%s is the address of %s too", value, other)
			}
		}
	}
}

func systemChosen(value string) bool {
	addr, err := netip.ParseAddrPort(value)
	return err == nil && addr.Port() == 0
}
