package directory

import "slices"

// Versions returns the versions of the listed servers of a service, sorted.
func (v *View) Versions(service string) []string { return v.versions[service] }

// StayingVersions returns the versions of the listed servers of a service that are not leaving,
// sorted; those of all of them if all are leaving.
func (v *View) StayingVersions(service string) []string {
	all := v.Versions(service)
	if len(all) < 2 {
		return all
	}
	var staying []string
	for _, s := range v.byService[service] {
		if len(staying) == len(all) {
			break
		}
		if !s.Draining() && !slices.Contains(staying, s.Version()) {
			staying = append(staying, s.Version())
		}
	}
	if len(staying) == 0 {
		return all
	}
	slices.Sort(staying)
	return staying
}

func (v *View) indexVersions() {
	for service, list := range v.byService {
		var versions []string
		for _, s := range list {
			if !slices.Contains(versions, s.Version()) {
				versions = append(versions, s.Version())
			}
		}
		slices.Sort(versions)
		v.versions[service] = versions
	}
}

// RunsVersion reports whether a server is known to run a version of its service's software.
//
// Where entries name no versions all servers are taken to run the same one, of which the
// name is empty. A process that was found at a known address may run another version than
// the one before it, also while this process knows of a single one: its list may be old.
func (v *View) RunsVersion(s *Server, version string) bool {
	if version == "" {
		return s.Version() == "" && len(v.Versions(s.Service)) == 1
	}
	return s.Version() == version && !s.versionAssumed.Load()
}

// MayRunVersion reports whether a server is known, or assumed, to run a version.
func (v *View) MayRunVersion(s *Server, version string) bool {
	return v.RunsVersion(s, version) || version != "" && s.Version() == version
}

// RetireOtherVersions records that the servers of a service are about to be stopped unless
// they have the given version. They get no new work, and their end does not count as the
// loss of their zones.
func (d *Directory) RetireOtherVersions(service, version string) {
	for _, s := range d.view.Load().Service(service) {
		if s.Version() != version {
			s.draining.Store(true)
		}
	}
}
