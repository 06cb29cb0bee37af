package text

import (
	"net/netip"

	"github.com/pearyard/pearyard/findings"
)

// check adds findings that the schema can't detect: duplicate and unknown names,
// cycles, models and services that nothing provides. The configuration may be
// incomplete, so that these findings are reported together with the schema's.
func (c *Config) check(list *findings.List) {
	c.checkNames(list)
	c.checkKeys(list)
	c.checkBackendServers(list)
	c.checkAdapters(list)
	newDependencies(c).check(list)
	checkCycles(c.Services, list)
	c.checkZones(list)
	c.checkRecovery(list)
}

// firstSeen maps each value to the pointer at which it occurred first.
type firstSeen map[string]string

// add records a value and reports it if it is a duplicate. Empty values are ignored:
// the schema check reports them.
func (f firstSeen) add(list *findings.List, what, value, pointer string) {
	if value == "" {
		return
	}
	if first, ok := f[value]; ok {
		list.Errorf(pointer, "%s %q is given twice, first at %s", what, value, first)
		return
	}
	f[value] = pointer
}

func (c *Config) checkNames(list *findings.List) {
	services := firstSeen{}
	for i, s := range c.Services {
		services.add(list, "service", s.Name, findings.Pointer("services", i, "name"))
	}
	models := firstSeen{}
	for i, m := range c.Models {
		models.add(list, "model version", nameAtVersion(m.Name, m.Version), findings.Pointer("models", i))
	}
	adapters := firstSeen{}
	for i, a := range c.Adapters {
		adapters.add(list, "adapter version", nameAtVersion(a.Name, a.Version), findings.Pointer("adapters", i))
	}
	// Not a firstSeen: of 48,000 organisations, only duplicates need a pointer.
	organisations := make(map[string]int, len(c.Organisations))
	for i, o := range c.Organisations {
		first, ok := organisations[o.Name]
		if ok && o.Name != "" {
			list.Errorf(findings.Pointer("organisations", i, "name"), "organisation %q is given twice, first at %s",
				o.Name, findings.Pointer("organisations", first, "name"))
			continue
		}
		organisations[o.Name] = i
	}
}

// nameAtVersion returns name@version, "" if the name is missing.
func nameAtVersion(name, version string) string {
	if name == "" {
		return ""
	}
	return name + "@" + version
}

// checkKeys reports API keys that two organisations share: requests with such a
// key would count against whichever organisation was indexed last.
func (c *Config) checkKeys(list *findings.List) {
	owners := make(map[keyHash]int32, len(c.Organisations))
	for i, o := range c.Organisations {
		if len(o.KeySHA256) == 0 && o.Name != "" {
			list.Warnf(findings.Pointer("organisations", i), "organisation %q has no key and can't call", o.Name)
		}
		for j, key := range o.KeySHA256 {
			hash, ok := parseKeyHash(key)
			if !ok {
				continue
			}
			if owner, taken := owners[hash]; taken {
				list.Errorf(findings.Pointer("organisations", i, "keySHA256", j), "key is given twice, first by organisation %q",
					c.Organisations[owner].Name)
				continue
			}
			owners[hash] = int32(i)
		}
	}
}

func (c *Config) checkBackendServers(list *findings.List) {
	names, addresses := firstSeen{}, firstSeen{}
	for i, s := range c.Services {
		for j, b := range s.BackendServers {
			pointer := findings.Pointer("services", i, "backendServers", j)
			names.add(list, "backend server", b.Name, pointer+"/name")
			address, ok := sidecarAddress(b.Sidecar)
			if !ok && b.Sidecar != "" {
				list.Errorf(pointer+"/sidecar", "%q is not an ip:port that a sidecar can listen on", b.Sidecar)
				continue
			}
			addresses.add(list, "sidecar address", address, pointer+"/sidecar")
		}
	}
}

// sidecarAddress returns the canonical form of an address, false if no sidecar can
// listen on it.
func sidecarAddress(s string) (string, bool) {
	address, err := netip.ParseAddrPort(s)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return "", false
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()).String(), true
}

func (c *Config) checkAdapters(list *findings.List) {
	models := map[string]bool{}
	for _, m := range c.Models {
		models[m.Name] = true
	}
	for i, a := range c.Adapters {
		if a.Model != "" && !models[a.Model] {
			list.Errorf(findings.Pointer("adapters", i, "model"), "unknown model %q", a.Model)
		}
		if a.Name != "" && models[a.Name] {
			list.Errorf(findings.Pointer("adapters", i, "name"), "adapter %q has the name of a model; callers could not tell them apart", a.Name)
		}
	}
}

// checkZones warns of services that the loss of one availability zone takes away as a
// whole. It also warns if a sidecar and its journal peers outnumber the zones: two of
// them then share one.
func (c *Config) checkZones(list *findings.List) {
	all := map[string]bool{}
	for i, s := range c.Services {
		zones := map[string]bool{}
		for _, b := range s.BackendServers {
			zones[b.Zone] = true
			all[b.Zone] = true
		}
		if len(zones) == 1 && len(s.BackendServers) > 1 {
			list.Warnf(findings.Pointer("services", i, "backendServers"),
				"all %d backend servers of %q are in one availability zone and fail with it", len(s.BackendServers), s.Name)
		}
	}
	if c.Recovery.JournalPeers > 0 && len(all) > 0 && c.Recovery.JournalPeers >= len(all) {
		list.Warnf("/recovery/journalPeers", "%d journal peers in %d availability zones: some share a zone", c.Recovery.JournalPeers, len(all))
	}
}

// checkRecovery warns of a journal batch that waits so long that the stream counts as
// lost.
func (c *Config) checkRecovery(list *findings.List) {
	r := c.Recovery
	if r.JournalBatchMillis > 0 && r.JournalBatchMillis >= r.SilenceMillis {
		list.Warnf("/recovery/journalBatchMillis",
			"a batch of %d ms waits as long as the silence of %d ms that counts as a loss", r.JournalBatchMillis, r.SilenceMillis)
	}
}
