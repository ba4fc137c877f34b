package loader

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Team is one team with its quota. A limit of 0 means no limit.
type Team struct {
	// Team is the team's id.
	Team identifier.TeamID `json:"team"`

	// TasksPerSecond is the rate of task starts that the team may keep up.
	TasksPerSecond float64 `json:"tasks-per-second"`

	// TasksInFlight is the largest number of the team's tasks that run at once.
	TasksInFlight int `json:"tasks-in-flight"`

	// Weight is the team's share of a full queue, relative to the other teams.
	Weight int `json:"weight"`

	// MilliCPU is the processor capacity that the team's intents may hold, in
	// thousandths of a core.
	MilliCPU identifier.MilliCPU `json:"milli-cpu"`

	// Memory is the memory that the team's intents may hold.
	Memory identifier.Bytes `json:"memory-bytes"`

	// Accelerators is the number of accelerators that the team's intents may hold.
	Accelerators int `json:"accelerators"`
}
