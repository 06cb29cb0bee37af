// Package retry decides whether and when a request may be retried: a retry
// budget per service, a circuit breaker per backend server, the caller's
// deadline, and the rule that only a request that provably did not run is sent
// again. It also computes backoff and Retry-After delays.
//
// May import of pearyard: event, types.
package retry
