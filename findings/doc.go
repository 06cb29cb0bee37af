// Package findings collects what is wrong with a JSON document, each finding
// with its place, so that an operator sees all of them at once.
//
// May import of pearyard: none.
package findings
