// Package route decides which backend server of a service gets a request. The
// candidates are data (a View, replaced whole); a Policy picks one of them
// without a lock, without an allocation and without a call to anyone.
//
// May import of pearyard: engine, event, types.
package route
