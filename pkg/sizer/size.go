// Package sizer works out what the system needs at a given size, from slopes that
// were measured. docs/CAPACITY.md is its output for the size that the users plan
// for; `stoathitch capacity` prints it for any other.
package sizer

import (
	"embed"
	"encoding/json"

	"github.com/rotisserie/eris"
)

//go:embed slopes.json
var measured embed.FS

// Size is what a deployment has to carry.
type Size struct {
	Workers        int     `json:"workers"`
	StartsPerSec   float64 `json:"starts-per-second"`
	TasksPerJob    float64 `json:"tasks-per-job"`
	Teams          int     `json:"teams"`
	FailureDomains int     `json:"failure-domains"`
	Hosts          int     `json:"hosts"`
	Keepers        int     `json:"keepers"`
	// MeanRunTimeSeconds is the mean run time of a task.
	MeanRunTimeSeconds float64 `json:"mean-run-time-seconds"`
	// NotRepeatableShare is the part of the jobs that need a claim.
	NotRepeatableShare float64 `json:"not-repeatable-share"`
	// AnswerBytes is the size of one task's answer.
	AnswerBytes      float64 `json:"answer-bytes"`
	ChangesPerDay    float64 `json:"config-changes-per-day"`
	ConfigBytes      float64 `json:"config-bytes"`
	RetentionSeconds float64 `json:"answer-retention-seconds"`
}

// Planned returns the size that the system is designed for.
func Planned() Size {
	return Size{
		Workers: 5200, StartsPerSec: 360_000, TasksPerJob: 40, Teams: 740,
		FailureDomains: 21, Hosts: 200, Keepers: 7, MeanRunTimeSeconds: 0.3,
		NotRepeatableShare: 0.02, AnswerBytes: 256, ChangesPerDay: 4400, ConfigBytes: 100_000,
		RetentionSeconds: 300,
	}
}

// Today returns the size of one of today's deployments.
func Today() Size {
	return Size{
		Workers: 50, StartsPerSec: 1200, TasksPerJob: 10, Teams: 12,
		FailureDomains: 3, Hosts: 9, Keepers: 3, MeanRunTimeSeconds: 0.3,
		NotRepeatableShare: 0.2, AnswerBytes: 256, ChangesPerDay: 20, ConfigBytes: 3000,
		RetentionSeconds: 300,
	}
}

// Slope is one measured cost.
type Slope struct {
	// Name is how the calculation refers to it.
	Name string `json:"name"`
	// Value is the fitted cost in Unit.
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Points are the measurements that the value was fitted to.
	Points string `json:"points"`
	// Fit says how.
	Fit string `json:"fit"`
	// Command measures it again.
	Command string `json:"command"`
}

// Slopes are all measured costs, by name.
type Slopes struct {
	list   []Slope
	byName map[string]float64
}

// MeasuredSlopes returns the slopes that were measured for the page.
func MeasuredSlopes() (*Slopes, error) {
	content, err := measured.ReadFile("slopes.json")
	if err != nil {
		return nil, &Error{Operation: "read slopes", Kind: ErrorSlopes, Err: eris.Wrap(err, "embedded file")}
	}
	return ParseSlopes(content)
}

// ParseSlopes reads a file of slopes. Each slope that the calculation needs must
// be there.
func ParseSlopes(content []byte) (*Slopes, error) {
	slopes := &Slopes{byName: make(map[string]float64)}
	if err := json.Unmarshal(content, &slopes.list); err != nil {
		return nil, &Error{Operation: "read slopes", Kind: ErrorSlopes, Err: eris.Wrap(err, "JSON")}
	}
	for _, slope := range slopes.list {
		slopes.byName[slope.Name] = slope.Value
	}
	for _, name := range neededSlopes() {
		if _, found := slopes.byName[name]; !found {
			return nil, &Error{Operation: "read slopes", Kind: ErrorSlopes, Err: eris.Errorf("slope %q is missing", name)}
		}
	}
	return slopes, nil
}

// List returns the slopes in the order of their file.
func (slopes *Slopes) List() []Slope { return slopes.list }

func (slopes *Slopes) value(name string) float64 { return slopes.byName[name] }
