// Package site holds the configuration that entry VMs serve by: routes, services,
// organisations and client limits. A Config is immutable; a Holder keeps the newest one
// and never goes back to an older one.
//
// May import of pearyard: event, follow, types.
package site
