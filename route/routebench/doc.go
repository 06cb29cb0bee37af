// Package routebench runs the routing policies in virtual time over modelled
// runners and reports what they do to prefix caches, load and the time to the
// first token. It measures the policy code itself, no network and no engine.
package routebench
