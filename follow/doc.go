// Package follow keeps a process up to date with a subject in the platform's store: it
// reads the subject, waits for changes, detects connections that have gone silent, backs
// off from a failing store, and lets a few processes read on behalf of all. The subject
// itself is up to the caller.
//
// May import of pearyard: retry.
package follow
