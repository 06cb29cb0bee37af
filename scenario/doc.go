// Package scenario runs scripted scenarios over real processes: a site of
// stand-ins, sidecars and routers on loopback ports, with signals and cut
// connections as faults. The scripts are testdata/*.txtar, in the language of
// testscript with the commands that docs/design/scenarios.md lists.
//
// May import of pearyard: backing, catalogue, cli, client, daemon, embedded,
// engine, generation, inspect, lease, membership, order, router, rpc/order,
// settings, standin, standin/command, text, types.
package scenario
