package reporter

import "slices"

// Row holds the figures of one replay. Mean, P50, P99 and Max are response times,
// as ratios over the ideal response time.
type Row struct {
	// Scenario is the name of the replayed scenario; its rows share their charts.
	Scenario string
	Policy   string
	// Load is the share of all slots that the tasks keep busy, from 0 to 1.
	Load                  float64
	Mean, P50, P99, Max   float64
	WastedPerTask         float64
	Jobs, Refused         int
	Failed, Unanswered    int
	Violations            int
	MessagesPerTask       float64
	ControlBytesPerSecond float64
}

// scenarioRows holds the rows of one scenario, sorted by load.
type scenarioRows struct {
	scenario string
	rows     []Row
}

// groupByScenario groups rows by scenario, in the order of first appearance.
func groupByScenario(rows []Row) []scenarioRows {
	var groups []scenarioRows
	for _, row := range rows {
		position := slices.IndexFunc(groups, func(group scenarioRows) bool { return group.scenario == row.Scenario })
		if position < 0 {
			position = len(groups)
			groups = append(groups, scenarioRows{scenario: row.Scenario})
		}
		groups[position].rows = append(groups[position].rows, row)
	}
	for _, group := range groups {
		slices.SortStableFunc(group.rows, byLoad)
	}
	return groups
}

func byLoad(first, second Row) int {
	switch {
	case first.Load < second.Load:
		return -1
	case first.Load > second.Load:
		return 1
	}
	return 0
}

// policyNames returns the sorted names of the policies, so that a policy has the same
// colour in each chart.
func policyNames(rows []Row) []string {
	var names []string
	for _, row := range rows {
		if !slices.Contains(names, row.Policy) {
			names = append(names, row.Policy)
		}
	}
	slices.Sort(names)
	return names
}
