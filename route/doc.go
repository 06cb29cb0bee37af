// Package route selects the backend server of a service for a request. The
// candidates are an immutable View, replaced as a whole; a Policy picks one of
// them without taking a lock, allocating memory or making a call.
//
// May import of pearyard: engine, event, types.
package route
