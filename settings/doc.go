// Package settings holds a process's own settings: who it is, where it
// listens and where the platform is. They come from a JSON file, then
// PEARYARD_ environment variables, then flags, each overriding the one before;
// what is wrong with them is reported all at once.
//
// May import of pearyard: event, findings, text, types.
package settings
