// Package text defines the operators' configuration: the services, their dependencies,
// the organisations that may call them, and the recovery settings. Parse validates a
// configuration as a whole; a parsed Config is read-only and may be shared without locks.
//
// Settings, metrics, error messages, stored keys and messages between processes call the
// configuration the text, or the operators' text.
//
// May import of pearyard: findings.
package text
