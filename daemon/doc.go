// Package daemon is what the thin mains of router and sidecar share: settings,
// the log, listeners, the platform's clients and signals.
//
// May import of pearyard: backing/httpapi, engine/httpapi, findings, node,
// plain/httpapi, settings, text.
package daemon
