// Package backing names what the platform gives (table service, object store,
// VM list, weight store) as small interfaces with typed errors. Each protocol
// towards a real service is one file; another protocol is another file.
//
// May import of pearyard: none.
package backing
