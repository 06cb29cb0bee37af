package scenario

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	genlog "github.com/pearyard/pearyard/generation"
	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/types"
)

// lookTimeout bounds a look at one process; frozen ones don't answer.
const lookTimeout = 500 * time.Millisecond

var lookClient = &http.Client{Timeout: lookTimeout}

func getJSON(url string, into any) error {
	resp, err := lookClient.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// dump reads one section of a process's state.
func (s *site) dump(name, section string, into any) error {
	var state struct {
		Sections map[string]inspect.Section `json:"sections"`
	}
	if err := getJSON("http://"+s.at(fromPeers, name)+inspect.PathState, &state); err != nil {
		return err
	}
	return json.Unmarshal(state.Sections[section].Value, into)
}

// counters reads the numbers of a stand-in's dump.
func (s *site) counters(name string) (map[string]float64, error) {
	var raw map[string]any
	if err := getJSON("http://"+s.at(fromHarness, name)+"/dump", &raw); err != nil {
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

func (s *site) fault(name, body string) error {
	resp, err := lookClient.Post("http://"+s.at(fromHarness, name)+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(resp.Body)
		return errors.Errorf("fault of %s: %s %s", name, resp.Status, message)
	}
	return nil
}

// runner returns the number of the sidecar under which the caller's generation
// runs now; 0 if none does.
func (s *site) runner(c *caller) int {
	found, youngest := 0, math.Inf(1)
	for i := range s.size.engines {
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
		if s.dump(sidecarName(i+1), "sidecar", &state) != nil {
			continue
		}
		for _, run := range state.Runs {
			// A run that moves is at two places until the former one has been ended.
			if run.AgeSeconds < youngest && run.Phase == genlog.Running.String() && c.isServedBy(run.Request, run.Generation) {
				found, youngest = i+1, run.AgeSeconds
			}
		}
	}
	return found
}
