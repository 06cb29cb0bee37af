package measure

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	prommodel "github.com/prometheus/common/model"

	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/standin"
)

const scrapeTimeout = 2 * time.Second // of one request

// scraper opens a connection for each request. It queries the processes under test.
var scraper = &http.Client{Timeout: scrapeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// readJSON decodes the JSON response from url.
func readJSON(url string, into any) error {
	resp, err := scraper.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(into), "measure: decode the response from %s", url)
}

// readDump decodes one section of the state that a process reports.
func readDump(p *process, section string, into any) error {
	var state struct {
		Sections map[string]inspect.Section `json:"sections"`
	}
	if err := readJSON("http://"+p.address["peers"]+inspect.PathState, &state); err != nil {
		return err
	}
	return json.Unmarshal(state.Sections[section].Value, into)
}

// samples holds the metrics of a process, each summed over its labels. A histogram has
// its sum and count as NAME_sum and NAME_count.
type samples map[string]float64

// readMetrics reads the metrics of a router or sidecar.
func readMetrics(p *process) (samples, error) {
	resp, err := scraper.Get("http://" + p.address["peers"] + inspect.PathMetrics)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(prommodel.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "measure: parse the metrics of %s", p.name)
	}
	out := samples{}
	for name, family := range families {
		for _, m := range family.GetMetric() {
			out[name] += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			if h := m.GetHistogram(); h != nil {
				out[name+"_sum"] += h.GetSampleSum()
				out[name+"_count"] += float64(h.GetSampleCount())
			}
		}
	}
	return out, nil
}

// sumMetrics adds up the metrics of all processes that respond.
func sumMetrics(processes []*process) samples {
	out := samples{}
	for _, p := range processes {
		got, err := readMetrics(p)
		if err != nil {
			continue
		}
		for name, value := range got {
			out[name] += value
		}
	}
	return out
}

// engineCounters reads the counters of a stand-in engine.
func engineCounters(p *process) (standin.Counters, error) {
	var counters standin.Counters
	return counters, readJSON("http://"+p.address[singleAddress]+"/dump", &counters)
}
