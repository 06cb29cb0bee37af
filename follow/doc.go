// Package follow keeps a process up to date with a subject in the platform's store, such
// as the configuration or the list of backend servers. It reads the subject, waits for
// changes, detects connections that have gone silent, backs off from a failing store, and
// lets a few processes read on behalf of all. What the subject is and how it is read is up
// to the caller.
//
// May import of pearyard: retry.
package follow
