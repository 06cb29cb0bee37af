// Package measure measures a site of real processes on the loopback interface:
// how long callers wait after a loss, what a loss costs, what routers add to a
// token, and how fast texts and departures spread. `pearyard bench measure` is
// its front; docs/MEASUREMENTS.md holds the figures.
//
// May import of pearyard: backing, backing/httpapi, config, daemon, engine,
// engine/httpapi, inspect, membership, route, router, rpc/admin, standin,
// standin/command, text, types.
package measure
