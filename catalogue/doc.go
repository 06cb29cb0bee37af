// Package catalogue imports every package that defines events, so that a program that
// imports it knows all of them. A package that defines its first event must be added
// here; a test finds missing ones.
//
// May import of pearyard: every package that defines events.
package catalogue
