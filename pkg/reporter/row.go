package reporter

import "slices"

// Row is the outcome of one replay. Response times are ratios over the ideal.
type Row struct {
	// Scenario names what was replayed; rows of one scenario share their charts.
	Scenario string
	Policy   string
	// Load is the share of all slots that the work keeps busy, from 0 to 1.
	Load                  float64
	Mean, P50, P99, Max   float64
	WastedPerTask         float64
	Jobs, Refused         int
	Failed, Unanswered    int
	Violations            int
	MessagesPerTask       float64
	ControlBytesPerSecond float64
}

// scenarioRows are the rows of one scenario in the order of load.
type scenarioRows struct {
	scenario string
	rows     []Row
}

// byScenario groups rows, keeping the order in which scenarios first appear.
func byScenario(rows []Row) []scenarioRows {
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

// policies returns the policies of the rows in the order of their names, so that
// a policy has the same colour in each chart.
func policies(rows []Row) []string {
	var names []string
	for _, row := range rows {
		if !slices.Contains(names, row.Policy) {
			names = append(names, row.Policy)
		}
	}
	slices.Sort(names)
	return names
}
