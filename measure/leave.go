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

// leaveTarget is the limit for how long a leaving backend server may still get new work.
const leaveTarget = 3 * time.Second

// LeaveMethod is the way in which a backend server is told to leave.
type LeaveMethod string

// Methods of leaving.
const (
	LeaveByStop   LeaveMethod = "pearyard-stop" // an operator's command at a router
	LeaveBySignal LeaveMethod = "sigterm"       // SIGTERM to the sidecar
	LeaveByVMList LeaveMethod = "vm-list"       // the platform's VM list marks the VM as leaving
)

const (
	vmListLag       = time.Second     // of the list that the platform's stand-in returns
	loadBeforeOrder = 2 * time.Second // duration of the load before the order to leave
	loadAfterOrder  = 5 * time.Second // duration of the load after the order to leave
	// vmListSettle is how long VMs are in the list before one of them leaves. Members obey
	// the list only for a process that has matched its entry for as long as the list may
	// lag, and poll the list every few seconds.
	vmListSettle    = membership.DefaultVMListLag + 6*time.Second
	shortTokens     = 4                    // tokens of a request; few, so that new requests come all the time
	requestInterval = 4 * time.Millisecond // between two requests
)

// LeaveResult tells how long a server still got new work after the order to leave.
type LeaveResult struct {
	Method     LeaveMethod `json:"way"`
	LastNew    Spread      `json:"last_new_work_ms"` // time from the order to the last new request; 0 if there was none
	NewWork    Spread      `json:"new_work"`         // number of new requests after the order
	Incomplete int         `json:"answers_not_whole"`
	Calls      int         `json:"calls"`
	Machine    Machine     `json:"machine"`
}

// String returns the result as one line.
func (r LeaveResult) String() string {
	return fmt.Sprintf("%-14s last new work %5.0f ms [%.0f..%.0f] after the order (bar %d met %t), new work %.0f [%.0f..%.0f], broken %d of %d, load %s", r.Method, r.LastNew.Median, r.LastNew.Min, r.LastNew.Max,
		leaveTarget.Milliseconds(), r.LastNew.Max < float64(leaveTarget.Milliseconds()), r.NewWork.Median, r.NewWork.Min, r.NewWork.Max, r.Incomplete, r.Calls, r.Machine.Load)
}

// Leave measures each method of leaving.
func Leave(ctx context.Context, bin string, runs int, progress io.Writer) ([]LeaveResult, error) {
	var out []LeaveResult
	for _, method := range []LeaveMethod{LeaveByStop, LeaveBySignal, LeaveByVMList} {
		result := LeaveResult{Method: method}
		var last, count []float64
		for range runs {
			after, calls, err := leaveRun(ctx, bin, method)
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
				if c.verify() != nil {
					result.Incomplete++
				}
			}
		}
		result.LastNew, result.NewWork, result.Machine = spreadOf(last), spreadOf(count), machine()
		fmt.Fprintln(progress, result)
		out = append(out, result)
	}
	return out, nil
}

// leaveRun returns how long after the order each new request reached the leaving engine,
// and all calls of the run.
func leaveRun(ctx context.Context, bin string, method LeaveMethod) ([]time.Duration, []*call, error) {
	const engines = 4
	var inProcess []*inProcessEngine
	for range engines {
		e, err := startInProcessEngine(standin.EngineOptions{StepBase: 5 * time.Millisecond, Capacity: inProcessCapacity})
		if err != nil {
			return nil, nil, err
		}
		defer func() { _ = e.server.Close() }()
		inProcess = append(inProcess, e)
	}
	s, err := startSite(ctx, siteOptions{bin: bin, engines: engines, routers: 2, inProcess: inProcess, recovery: text.DefaultRecovery(), vmLag: vmListLag})
	if err != nil {
		return nil, nil, err
	}
	defer s.stop()
	if err := s.setVMs(-1); err != nil {
		return nil, nil, err
	}
	if method == LeaveByVMList {
		time.Sleep(vmListSettle)
	}
	order := make(chan time.Time, 1)
	time.AfterFunc(loadBeforeOrder, func() {
		order <- time.Now()
		_ = s.orderLeave(ctx, method)
	})
	calls := generateLoad(ctx, s.callerAddresses(), loadBeforeOrder+loadAfterOrder)
	ordered := <-order
	var after []time.Duration
	for _, at := range inProcess[0].requestTimes() {
		if at.After(ordered) {
			after = append(after, at.Sub(ordered))
		}
	}
	return after, calls, nil
}

// generateLoad starts short generations at a constant rate for length and waits for them.
func generateLoad(ctx context.Context, routers []string, length time.Duration) []*call {
	client := &http.Client{Transport: newTransport()}
	var wait sync.WaitGroup
	var calls []*call
	for deadline := time.Now().Add(length); time.Now().Before(deadline); time.Sleep(requestInterval) {
		c := &call{prompt: fmt.Sprintf("short request %d", len(calls)), maxTokens: shortTokens, routers: routers, first: len(calls)}
		calls = append(calls, c)
		wait.Go(func() { c.run(ctx, client) })
	}
	wait.Wait()
	return calls
}

// orderLeave tells the first backend server to leave.
func (s *site) orderLeave(ctx context.Context, method LeaveMethod) error {
	switch method {
	case LeaveByStop:
		_, err := s.commands(0).Stop(ctx, &adminpb.StopRequest{Kind: adminpb.Kind_KIND_BACKEND, Name: s.backends[0].name, Who: "measure"})
		return err
	case LeaveBySignal:
		return s.backends[0].sidecar.signal(syscall.SIGTERM)
	default:
		return s.setVMs(0)
	}
}

// setVMs replaces the VM list of the platform. The VM of the backend with index leaving
// is marked as leaving; -1 marks none.
func (s *site) setVMs(leaving int) error {
	var vms []backing.VM
	for i, b := range s.backends {
		vms = append(vms, backing.VM{ID: "vm-" + b.name, Address: s.sidecarAddress(b), Zone: fmt.Sprintf("zone-%d", i%zoneCount+1), Leaving: i == leaving})
	}
	raw, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+s.platform.address[singleAddress]+"/vms", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("measure: set VM list: status %s", resp.Status)
	}
	return nil
}
