// Package journalpb holds the call by which a router reads a journalled generation.
package journalpb
