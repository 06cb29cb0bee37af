package rollout

import "slices"

// Versions says which versions of a service may run its requests.
type Versions struct {
	// Established holds the versions that served before the newest order; see Baseline. Empty:
	// all but the ordered one.
	Established []string
	Listed      []string // versions of the servers that are listed now and not leaving
	Ordered     string   // version that the newest order moves to; empty: no order
	Phase       Phase    // of that order
}

// Allows reports whether a version may run a request. trial is set for a request that was
// chosen for the version on trial.
//
// A version that is neither established nor ordered gets nothing: the order for it may not
// have reached this process yet, and requests sent there are not counted against its
// share.
func (v Versions) Allows(version string, trial bool) bool {
	switch v.Phase {
	case Completed:
		return version == v.Ordered || (!v.listed(v.Ordered) && v.established(version))
	case Stopped, Reverted:
		return !trial && v.established(version)
	}
	if v.Ordered != "" && version == v.Ordered {
		return trial || !v.establishedListed()
	}
	return !trial && v.established(version)
}

func (v Versions) listed(version string) bool { return slices.Contains(v.Listed, version) }

// established reports whether a version served before the order. While it is unknown which
// did, all but the ordered one count, and so they do if none of those that did is listed.
func (v Versions) established(version string) bool {
	if v.isOrdered(version) {
		return false
	}
	return slices.Contains(v.Established, version) ||
		!slices.ContainsFunc(v.Established, func(e string) bool { return v.listed(e) && !v.isOrdered(e) })
}

func (v Versions) isOrdered(version string) bool { return v.Ordered != "" && version == v.Ordered }

// establishedListed reports whether there is a server that the new version could be
// compared with.
func (v Versions) establishedListed() bool {
	return slices.ContainsFunc(v.Listed, v.established)
}
