// Package site holds the configuration that entry VMs serve by: routes,
// services, organisations and the limits of clients. A Config is immutable; a
// Holder keeps the newest one and never goes back.
//
// May import of pearyard: event, follow.
package site
