// Package membership tells a router or sidecar which other processes of its
// site are there. It follows SWIM (Das, Gupta, Motivala 2002): each period a
// member probes one other in a shuffled round robin, asks others to probe what
// doesn't answer, and piggybacks changes on these messages a bounded number of
// times. Leaving is kept apart from suspicion and death, and is sticky.
//
// The package depends on no store: settings name seeds, the platform's VM list
// only adds candidates and marks leaving members.
//
// May import of pearyard: backing, event, rpc/member, types.
package membership
