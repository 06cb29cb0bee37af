// Package admission decides when a stream is sent to a backend server while more streams
// arrive than the servers can begin within their objectives: it starts, waits at this
// process or is refused at once. Decide is a function of a snapshot; Queue keeps the
// streams of one service that wait, in the order in which they start.
//
// May import of pearyard: none.
package admission
