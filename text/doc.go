// Package text defines the operators' configuration: the services, their dependencies,
// the organisations that may call them, and the recovery settings. Parse validates a
// configuration as a whole; a parsed Config is read-only and may be shared without locks.
//
// May import of pearyard: findings.
package text
