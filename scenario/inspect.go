package scenario

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/generation"
	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/types"
)

// inspectTimeout bounds a request for the state of one process, since a frozen process
// doesn't answer.
const inspectTimeout = 500 * time.Millisecond

var inspectClient = &http.Client{Timeout: inspectTimeout}

func getJSON(url string, into any) error {
	resp, err := inspectClient.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", url, resp.Status)
	}
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(into), "decode %s", url)
}

// readSection decodes one section of a process's state into *into.
func (s *site) readSection(name, section string, into any) error {
	var state struct {
		Sections map[string]inspect.Section `json:"sections"`
	}
	if err := getJSON("http://"+s.address(fromPeers, name)+inspect.PathState, &state); err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(state.Sections[section].Value, into), "section %q of the state of %s", section, name)
}

// counters returns the numeric fields of a stand-in's dump.
func (s *site) counters(name string) (map[string]float64, error) {
	var raw map[string]any
	if err := getJSON("http://"+s.address(fromHarness, name)+"/dump", &raw); err != nil {
		return nil, err
	}
	out := map[string]float64{}
	for key, value := range raw {
		if n, ok := value.(float64); ok {
			out[key] = n
		}
	}
	return out, nil
}

// setFault sets the faults that a stand-in simulates.
func (s *site) setFault(name, body string) error {
	resp, err := inspectClient.Post("http://"+s.address(fromHarness, name)+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(resp.Body)
		return errors.Errorf("set faults of %s: %s %s", name, resp.Status, message)
	}
	return nil
}

// servingSidecar returns the number of the sidecar beside which the caller's generation
// currently runs, or 0 if there is none.
func (s *site) servingSidecar(c *caller) int {
	found, youngest := 0, math.Inf(1)
	for i := range s.spec.engines {
		if !s.processes[sidecarName(i+1)].running() || !s.processes[engineName(i+1)].running() {
			continue
		}
		var state struct {
			Runs []struct {
				Generation string
				Request    types.RequestID
				Phase      string
				AgeSeconds float64
			}
		}
		if s.readSection(sidecarName(i+1), "sidecar", &state) != nil {
			continue
		}
		for _, run := range state.Runs {
			// While a generation moves, it is listed by two sidecars until the old run
			// has been ended; the younger run is the current one.
			if run.AgeSeconds < youngest && run.Phase == generation.Running.String() && c.isServedBy(run.Request, run.Generation) {
				found, youngest = i+1, run.AgeSeconds
			}
		}
	}
	return found
}
