// Package follow keeps a process up with something that lies in the platform's
// store: it reads it, waits for changes, notices a connection that has gone
// silent, backs off from a store that fails, and lets a few processes read for
// all. What is read is the caller's matter.
//
// May import of pearyard: retry.
package follow
