package site

import (
	"slices"
	"strings"
)

// ObjectiveSeparator separates the objectives of a configuration in a log line.
const ObjectiveSeparator = ","

// maxLoggedObjectives bounds a log line: there are many routes, but few different
// objectives.
const maxLoggedObjectives = 12

// Objectives returns the different objectives of the routes as KIND:RESPONSE or
// KIND:RESPONSE/GAP for the log: without them the log shows how long a response took, but
// not whether that was in time.
func (c *Config) Objectives() string {
	seen := map[string]bool{}
	for _, routes := range c.byHost {
		for _, r := range routes {
			if r.Objective > 0 || r.MaxGap > 0 {
				seen[r.objective()] = true
			}
		}
	}
	words := make([]string, 0, len(seen))
	for word := range seen {
		words = append(words, word)
	}
	slices.Sort(words)
	return strings.Join(words[:min(len(words), maxLoggedObjectives)], ObjectiveSeparator)
}

func (r *Route) objective() string {
	word := r.Kind.String() + ":" + r.Objective.String()
	if r.MaxGap > 0 {
		word += "/" + r.MaxGap.String()
	}
	return word
}
