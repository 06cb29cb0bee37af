// Package routebench runs the routing policies in virtual time over runners, which
// are simulated backend servers, and reports their effect on prefix caches, load
// and the time to the first token. It measures the policy code alone, without
// network or engine.
package routebench
