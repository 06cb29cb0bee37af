// Package catalogue imports every package that defines events, so that a
// program which imports it knows all of them. A package that defines its first
// event is added here; the test finds one that is missing.
//
// May import of pearyard: every package that defines events.
package catalogue
