// Package embedded runs a whole site in one process on loopback ports: stand-ins
// for the platform and the backend servers, and routers and sidecars that run the
// same code as the daemons. The demo uses it; the scenarios use only its names and
// keys. Killing a router or sidecar closes its listeners and all their connections
// at once, as the kernel does for a killed process.
//
// May import of pearyard: backing/httpapi, client, config, engine/httpapi, node,
// plain/httpapi, standin, text, types.
package embedded
