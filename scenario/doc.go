// Package scenario runs scripted end-to-end tests against real processes: a site of
// stand-ins, sidecars and routers on loopback ports. Scripts inject faults with signals
// and by interrupting connections. The scripts are testdata/*.txtar files for testscript,
// with the additional commands that docs/design/scenarios.md lists.
//
// May import of pearyard: backing, catalogue, cli, client, daemon, embedded,
// engine, generation, inspect, lease, membership, order, router, rpc/order,
// settings, standin, standin/command, text, types.
package scenario
