package text

import (
	"net/netip"

	"github.com/pearyard/pearyard/findings"
)

// check adds what the schema can't see: doubled and unknown names, cycles,
// things that nothing provides. It works on a text that may be incomplete,
// so that its findings come together with the schema's.
func (t *Text) check(list *findings.List) {
	t.checkNames(list)
	t.checkKeys(list)
	t.checkBackendServers(list)
	t.checkAdapters(list)
	newDependencies(t).check(list)
	checkCycles(t.Services, list)
	t.checkZones(list)
	t.checkRecovery(list)
}

// firsts remembers where each value was seen first.
type firsts map[string]string

// add reports a value seen before. Empty values are the schema's to report.
func (f firsts) add(list *findings.List, what, value, pointer string) {
	if value == "" {
		return
	}
	if first, ok := f[value]; ok {
		list.Errorf(pointer, "%s %q is given twice, first at %s", what, value, first)
		return
	}
	f[value] = pointer
}

func (t *Text) checkNames(list *findings.List) {
	services := firsts{}
	for i, s := range t.Services {
		services.add(list, "service", s.Name, findings.Pointer("services", i, "name"))
	}
	models := firsts{}
	for i, m := range t.Models {
		models.add(list, "model version", pair(m.Name, m.Version), findings.Pointer("models", i))
	}
	adapters := firsts{}
	for i, a := range t.Adapters {
		adapters.add(list, "adapter version", pair(a.Name, a.Version), findings.Pointer("adapters", i))
	}
	organisations := make(map[string]int, len(t.Organisations))
	for i, o := range t.Organisations {
		first, ok := organisations[o.Name]
		if ok && o.Name != "" {
			list.Errorf(findings.Pointer("organisations", i, "name"), "organisation %q is given twice, first at %s",
				o.Name, findings.Pointer("organisations", first, "name"))
			continue
		}
		organisations[o.Name] = i
	}
}

// pair joins name and version for a message; "" if the name is missing.
func pair(name, version string) string {
	if name == "" {
		return ""
	}
	return name + "@" + version
}

// checkKeys finds API keys that two organisations share: requests made with
// such a key would count against whichever the index met last.
func (t *Text) checkKeys(list *findings.List) {
	owners := make(map[keyHash]int32, len(t.Organisations))
	for i, o := range t.Organisations {
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
					t.Organisations[owner].Name)
				continue
			}
			owners[hash] = int32(i)
		}
	}
}

func (t *Text) checkBackendServers(list *findings.List) {
	names, addresses := firsts{}, firsts{}
	for i, s := range t.Services {
		for j, b := range s.BackendServers {
			at := findings.Pointer("services", i, "backendServers", j)
			names.add(list, "backend server", b.Name, at+"/name")
			address, ok := sidecarAddress(b.Sidecar)
			if !ok && b.Sidecar != "" {
				list.Errorf(at+"/sidecar", "%q is not an ip:port that a sidecar can listen on", b.Sidecar)
				continue
			}
			addresses.add(list, "sidecar address", address, at+"/sidecar")
		}
	}
}

// sidecarAddress returns an address in its one canonical form.
func sidecarAddress(s string) (string, bool) {
	address, err := netip.ParseAddrPort(s)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return "", false
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()).String(), true
}

func (t *Text) checkAdapters(list *findings.List) {
	models := map[string]bool{}
	for _, m := range t.Models {
		models[m.Name] = true
	}
	for i, a := range t.Adapters {
		if a.Model != "" && !models[a.Model] {
			list.Errorf(findings.Pointer("adapters", i, "model"), "unknown model %q", a.Model)
		}
		if a.Name != "" && models[a.Name] {
			list.Errorf(findings.Pointer("adapters", i, "name"), "adapter %q has the name of a model; callers could not tell them apart", a.Name)
		}
	}
}

// checkZones warns of what one lost availability zone takes away whole.
func (t *Text) checkZones(list *findings.List) {
	all := map[string]bool{}
	for i, s := range t.Services {
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
	if t.Recovery.JournalPeers > 0 && len(all) > 0 && t.Recovery.JournalPeers >= len(all) {
		list.Warnf("/recovery/journalPeers", "%d journal peers in %d availability zones: some share a zone", t.Recovery.JournalPeers, len(all))
	}
}

func (t *Text) checkRecovery(list *findings.List) {
	r := t.Recovery
	if r.JournalBatchMillis > 0 && r.JournalBatchMillis >= r.SilenceMillis {
		list.Warnf("/recovery/journalBatchMillis",
			"a batch of %d ms waits as long as the silence of %d ms that counts as a loss", r.JournalBatchMillis, r.SilenceMillis)
	}
}
