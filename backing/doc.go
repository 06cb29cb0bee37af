// Package backing defines interfaces and typed errors for the platform's services:
// table service, object store, VM list and weight store. Each protocol that
// implements them has a package of its own.
//
// May import of pearyard: none.
package backing
