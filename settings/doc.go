// Package settings loads and validates a process's own settings: its identity, the
// addresses it listens on and the addresses of the platform's services. They come
// from a JSON file, then PEARYARD_ environment variables, then flags, each overriding
// the previous source. All errors in them are reported together.
//
// May import of pearyard: event, findings, text, types.
package settings
