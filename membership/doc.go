// Package membership tells a router or sidecar which other processes of its site
// are running. It implements a variant of SWIM (Das, Gupta, Motivala 2002): in
// each period a member probes one other in shuffled round-robin order, asks others
// to probe a member that does not answer, and piggybacks changes on these messages
// a bounded number of times. Leaving is tracked separately from suspicion and
// death, and is never revoked within an incarnation.
//
// The package depends on no store: the settings name seeds, and the platform's VM
// list only adds candidates and marks members as leaving.
//
// May import of pearyard: backing, event, rpc/member, types.
package membership
