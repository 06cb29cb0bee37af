// Package limitbench is a benchmark of package limit in virtual time. It measures
// how fairly organisations share slots under load, and how accurately several
// routers enforce a limit together. The limiters are real; callers, services and
// the exchange of reports are simulated.
package limitbench
