package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/membership"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/text"
)

// leaveBar is how long a backend server that leaves may still get new work.
const leaveBar = 3 * time.Second

// Way is how a backend server is told to leave.
type Way string

// Ways to leave.
const (
	WayStop   Way = "pearyard-stop"
	WaySignal Way = "sigterm"
	WayVMList Way = "vm-list"
	vmListLag     = time.Second
	leaveTail     = 5 * time.Second // load that goes on after the order
	leaveLead     = 2 * time.Second
	// vmListSettle is how long VMs stand in the list before one of them leaves:
	// members believe the list only of runs that have stood there for the lag
	// that it may have, and poll it every few seconds.
	vmListSettle = membership.DefaultVMListLag + 6*time.Second
	shortTokens  = 4
	arrivalGap   = 4 * time.Millisecond // between two new requests
)

// LeaveResult is how long new work still came after the order to leave.
type LeaveResult struct {
	Way     Way     `json:"way"`
	LastNew Spread  `json:"last_new_work_ms"` // after the order; 0: none came
	NewWork Spread  `json:"new_work"`         // requests that came after it
	Broken  int     `json:"answers_not_whole"`
	Calls   int     `json:"calls"`
	Machine Machine `json:"machine"`
}

// String returns the result as one line of the report.
func (r LeaveResult) String() string {
	return fmt.Sprintf("%-14s last new work %5.0f ms [%.0f..%.0f] after the order (bar %d met %t), new work %.0f [%.0f..%.0f], broken %d of %d, load %s", r.Way, r.LastNew.Median, r.LastNew.Least, r.LastNew.Most,
		leaveBar.Milliseconds(), r.LastNew.Most < float64(leaveBar.Milliseconds()), r.NewWork.Median, r.NewWork.Least, r.NewWork.Most, r.Broken, r.Calls, r.Machine.Load)
}

// Leave measures each way to leave.
func Leave(ctx context.Context, bin string, runs int, progress io.Writer) ([]LeaveResult, error) {
	var out []LeaveResult
	for _, way := range []Way{WayStop, WaySignal, WayVMList} {
		result := LeaveResult{Way: way}
		var last, count []float64
		for range runs {
			after, calls, err := leaveRun(ctx, bin, way)
			if err != nil {
				return out, err
			}
			newest := time.Duration(0)
			if len(after) > 0 {
				newest = after[len(after)-1]
			}
			last, count = append(last, float64(newest.Milliseconds())), append(count, float64(len(after)))
			result.Calls += len(calls)
			for _, c := range calls {
				if c.whole() != nil {
					result.Broken++
				}
			}
		}
		result.LastNew, result.NewWork, result.Machine = spreadOf(last), spreadOf(count), machine()
		fmt.Fprintln(progress, result)
		out = append(out, result)
	}
	return out, nil
}

// leaveRun returns when, after the order, the engine that leaves got new work.
func leaveRun(ctx context.Context, bin string, way Way) ([]time.Duration, []*call, error) {
	const engines = 4
	var own []*ownEngine
	for range engines {
		e, err := startOwnEngine(standin.EngineOptions{StepBase: 5 * time.Millisecond, Capacity: ownCapacity})
		if err != nil {
			return nil, nil, err
		}
		defer func() { _ = e.server.Close() }()
		own = append(own, e)
	}
	s, err := startSite(ctx, siteOptions{bin: bin, engines: engines, routers: 2, own: own, recovery: text.DefaultRecovery(), vmLag: vmListLag})
	if err != nil {
		return nil, nil, err
	}
	defer s.stop()
	if err := s.setVMs(-1); err != nil {
		return nil, nil, err
	}
	if way == WayVMList {
		time.Sleep(vmListSettle)
	}
	order := make(chan time.Time, 1)
	time.AfterFunc(leaveLead, func() {
		order <- time.Now()
		_ = s.orderLeave(ctx, way)
	})
	calls := arrivals(ctx, s.callers(), leaveLead+leaveTail)
	ordered := <-order
	var after []time.Duration
	for _, at := range own[0].begun() {
		if at.After(ordered) {
			after = append(after, at.Sub(ordered))
		}
	}
	return after, calls, nil
}

// arrivals begins short generations at a steady pace for a while.
func arrivals(ctx context.Context, routers []string, length time.Duration) []*call {
	client := &http.Client{Transport: newTransport()}
	var wait sync.WaitGroup
	var calls []*call
	for deadline := time.Now().Add(length); time.Now().Before(deadline); time.Sleep(arrivalGap) {
		c := &call{prompt: fmt.Sprintf("short request %d", len(calls)), maxTokens: shortTokens, routers: routers, first: len(calls)}
		calls = append(calls, c)
		wait.Go(func() { c.run(ctx, client) })
	}
	wait.Wait()
	return calls
}

func (s *site) orderLeave(ctx context.Context, way Way) error {
	switch way {
	case WayStop:
		_, err := s.commands(0).Stop(ctx, &adminpb.StopRequest{Kind: adminpb.Kind_KIND_BACKEND, Name: s.backends[0].name, Who: "measure"})
		return err
	case WaySignal:
		return s.backends[0].sidecar.signal(syscall.SIGTERM)
	default:
		return s.setVMs(0)
	}
}

// setVMs tells the platform's list of the VMs; the one of backend leaving, if
// there is one, is leaving.
func (s *site) setVMs(leaving int) error {
	var vms []backing.VM
	for i, b := range s.backends {
		vms = append(vms, backing.VM{ID: "vm-" + b.name, Address: s.sidecarAddress(b), Zone: fmt.Sprintf("zone-%d", i%zones+1), Leaving: i == leaving})
	}
	raw, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+s.platform.address[soleAddress]+"/vms", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("measure: VM list: %s", resp.Status)
	}
	return nil
}
