// Package cli is the operators' command line. Each command calls the administration
// API or works offline on files; docs/operations/command-line.md describes them and
// their exit codes.
//
// May import of pearyard: admin, event, explain, findings, inspect, rpc/admin,
// text.
package cli
