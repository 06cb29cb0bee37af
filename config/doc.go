// Package config distributes the operators' configuration and holds the revision
// in force in a process. A Holder provides requests with the snapshot in force; a
// Store commits new revisions to the table service by compare-and-swap; a Syncer
// fetches newer revisions from the store and from peers; a Pusher sends a newly
// accepted revision to peers. A process never returns to an older revision.
//
// Metrics, error messages, stored keys and messages between processes call the
// configuration the text, or the operators' text.
//
// May import of pearyard: backing, event, findings, rpc/config, text, types.
package config
