// Package demo shows, in one process and in a few seconds, what pearyard is
// for: a long generation reaches its caller whole although the engine that
// produces it and then the router that serves it die.
//
// May import of pearyard: client, embedded, standin.
package demo
