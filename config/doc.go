// Package config keeps the revision of the operators' text that is in force in
// a process and spreads it. A Holder gives requests the snapshot in force; a
// Store commits new revisions by compare-and-swap in the table service; a
// Spreader brings newer revisions in from the store and from peers, and hands
// them on. Nothing here ever moves a process back to an older revision.
//
// May import of pearyard: backing, event, findings, rpc/config, text, types.
package config
