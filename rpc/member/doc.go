// Package memberpb holds the probes and exchanges of membership.
package memberpb
