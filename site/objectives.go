package site

import (
	"slices"
	"strings"
)

// ObjectiveSeparator separates the objectives of a configuration in a log line.
const ObjectiveSeparator = ","

// maxLoggedObjectives is the largest number of objectives in a log line. There are many
// routes, but usually fewer different objectives.
const maxLoggedObjectives = 12

// Objectives returns the different objectives of the routes for the log, each as
// KIND:OBJECTIVE or KIND:OBJECTIVE/MAXGAP. Without them the log shows how long a response
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
	objectives := make([]string, 0, len(seen))
	for objective := range seen {
		objectives = append(objectives, objective)
	}
	slices.Sort(objectives)
	return strings.Join(objectives[:min(len(objectives), maxLoggedObjectives)], ObjectiveSeparator)
}

func (r *Route) objective() string {
	objective := r.Kind.String() + ":" + r.Objective.String()
	if r.MaxGap > 0 {
		objective += "/" + r.MaxGap.String()
	}
	return objective
}
