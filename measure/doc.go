// Package measure measures a site of real processes on the loopback interface:
// how long callers wait after a loss, what a loss costs, how much latency routers add to
// a token, and how fast configuration changes and the departure of servers take effect.
// Its command is `pearyard bench measure`; docs/MEASUREMENTS.md has the results.
//
// May import of pearyard: backing, backing/httpapi, config, daemon, engine,
// engine/httpapi, inspect, membership, route, router, rpc/admin, standin,
// standin/command, text, types.
package measure
