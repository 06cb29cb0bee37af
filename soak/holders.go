package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// holdShare of the idle limit is how long a caller leaves its connection idle
	// at most before it uses it again.
	holdShare = 0.8
	// leastHoldShare keeps its requests near the limit, where connections are closed.
	leastHoldShare = 0.3
	// holdWithoutLimit stands for the limit where there is none.
	holdWithoutLimit = time.Second
)

// hold keeps one connection to a VM and sends on it after pauses, until ctx ends.
func (c *Callers) hold(ctx context.Context, vm *VM) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		call := Call{ID: fmt.Sprintf("h%06d", c.next.Add(1)), VM: vm.Name}
		call.Path = []string{"/once/", "/any/"}[n%2] + call.ID
		c.send(client, vm, &call, "k0")
		c.note(call)
		c.idle(ctx)
	}
}

// idle waits as long as a caller leaves its connection alone.
func (c *Callers) idle(ctx context.Context) {
	limit := c.site.idleTime()
	if limit == 0 {
		limit = holdWithoutLimit
	}
	least := time.Duration(leastHoldShare * float64(limit))
	most := time.Duration(holdShare * float64(limit))
	select {
	case <-time.After(least + time.Duration(c.rng(int(most-least)))):
	case <-ctx.Done():
	}
}
