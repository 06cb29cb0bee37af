package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// maxIdleShare is the largest share of the idle timeout for which a caller leaves
	// its connection idle.
	maxIdleShare = 0.8
	// minIdleShare is the smallest share. It keeps requests near the idle timeout, at
	// which connections are closed.
	minIdleShare = 0.3
	// assumedIdleTimeout determines the pauses while the configuration has no idle
	// timeout.
	assumedIdleTimeout = time.Second
)

// runIdleCaller sends requests on one connection to a VM, with pauses, until ctx ends. The
// request IDs begin with h, those of the other callers with r.
func (c *Callers) runIdleCaller(ctx context.Context, vm *VM) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		call := Call{ID: fmt.Sprintf("h%06d", c.nextID.Add(1)), VM: vm.Name}
		call.Path = []string{"/once/", "/any/"}[n%2] + call.ID
		c.send(client, vm, &call, "k0")
		c.record(call)
		c.waitIdle(ctx)
	}
}

// waitIdle waits for a random time between minIdleShare and maxIdleShare of the idle
// timeout, or until ctx ends.
func (c *Callers) waitIdle(ctx context.Context) {
	limit := c.site.idleTimeout()
	if limit == 0 {
		limit = assumedIdleTimeout
	}
	shortest := time.Duration(minIdleShare * float64(limit))
	longest := time.Duration(maxIdleShare * float64(limit))
	select {
	case <-time.After(shortest + time.Duration(c.randIntN(int(longest-shortest)))):
	case <-ctx.Done():
	}
}
