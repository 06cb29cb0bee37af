// Package types defines the data types that all other packages share:
// identifiers, tokens and lineages, outcomes and refusals, and load reports.
// It depends on no other package of this module.
//
// May import of pearyard: none.
package types
