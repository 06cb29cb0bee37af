package site

import (
	"slices"
	"strings"
)

// BetweenObjectives separates the objectives of a configuration in a log line.
const BetweenObjectives = ","

// maxObjectives bounds a log line: routes are many, their objectives are few.
const maxObjectives = 12

// Objectives returns the different objectives of the routes as KIND:ANSWER or
// KIND:ANSWER/GAP, for the log: without them its lines say how long an answer
// took, but not whether that was in time.
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
	return strings.Join(words[:min(len(words), maxObjectives)], BetweenObjectives)
}

func (r *Route) objective() string {
	word := r.Kind.String() + ":" + r.Objective.String()
	if r.MaxGap > 0 {
		word += "/" + r.MaxGap.String()
	}
	return word
}
