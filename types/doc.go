// Package types holds the values that every other package speaks in:
// identifiers, tokens and lineages, outcomes and refusals, load reports.
// It depends on nothing else in this module.
//
// May import of pearyard: none.
package types
