// Package limitbench measures package limit in virtual time: how fairly
// organisations share slots under pressure, and how far off limits are that
// routers keep together. The limiters are the real ones; callers, services and
// the exchange of reports are modelled.
package limitbench
