// Package findings collects the errors and warnings of a JSON document, each with
// its position, so that an operator sees all of them at once.
//
// May import of pearyard: none.
package findings
