// Package rollout moves a service's requests to backend servers of another version, as
// the operator orders it. Entry VMs send a small share of the requests to the new
// version, compare its answers with those of the current one, and complete or revert the
// roll-out before its deadline.
//
// Each entry VM limits its own share, so that no exchange of messages is needed to keep
// the limit. All of them report what they observe to the deciders, two entry VMs that
// judge the version and tell the others which phase the roll-out is in. A decider writes
// the outcome to the store on the condition that no other outcome has been written.
//
// May import of pearyard: directory, event, site, types.
package rollout
