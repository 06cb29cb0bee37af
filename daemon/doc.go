// Package daemon holds what the main packages of router and sidecar share: settings,
// logging, listeners, the platform's clients and signal handling.
//
// May import of pearyard: backing/httpapi, engine/httpapi, event, findings, node, plain/httpapi,
// settings, text.
package daemon
