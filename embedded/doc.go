// Package embedded runs a whole site in one process on loopback ports: the
// platform and the backend servers as stand-ins, routers and sidecars by the
// same code as the daemons. The demo, the tests of failures and the
// measurements use it. Killing a part here means that its listener and all its
// connections are closed at once, as the kernel does for a killed process.
//
// May import of pearyard: backing/httpapi, client, config, engine/httpapi, node,
// plain/httpapi, standin, text, types.
package embedded
