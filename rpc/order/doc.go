// Package orderpb holds the orders that a sidecar takes for its engine.
package orderpb
