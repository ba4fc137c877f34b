package loadgenerator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

//go:generate enumer -type=Arrivals -trimprefix=Arrivals -transform=kebab -text

// Arrivals tells how the scheduled moments of the jobs are spread.
type Arrivals int

const (
	// ArrivalsPoisson makes the jobs independent of each other.
	ArrivalsPoisson Arrivals = iota
	// ArrivalsEven keeps the same interval between any two.
	ArrivalsEven
)

// Plan is what a run sends.
type Plan struct {
	// Rate is how many jobs a second fall due, all hosts together.
	Rate     float64         `json:"rate"`
	Duration loader.Duration `json:"duration"`
	Arrivals Arrivals        `json:"arrivals"`
	// Seed makes the same jobs at the same moments again.
	Seed uint64 `json:"seed"`
	// InFlight bounds the jobs that wait for their answer. A job that finds it
	// reached is sent late; its response still counts from its moment.
	InFlight int `json:"in-flight"`
	// Connections bounds the connections to each host.
	Connections int `json:"connections"`
	// Patience is how long an answer is waited for.
	Patience loader.Duration `json:"patience"`
	Mixes    []Mix           `json:"mixes"`
}

// Mix is one kind of jobs.
type Mix struct {
	Class identifier.ClassName `json:"class"`
	Team  identifier.TeamID    `json:"team"`
	// Weight is the share of the jobs, against the weights of the other mixes.
	Weight float64 `json:"weight"`
	Widths []Width `json:"widths"`
	// ShortestRunTime and LongestRunTime bound the run time of a task; it is spread
	// evenly between them.
	ShortestRunTime loader.Duration `json:"shortest-run-time"`
	LongestRunTime  loader.Duration `json:"longest-run-time"`
	// RepeatableShare is the part of the jobs that are repeatable, from 0 to 1.
	RepeatableShare float64 `json:"repeatable-share"`
	// Deadline is the time that a job has from its moment; 0 sets no deadline.
	Deadline loader.Duration `json:"deadline"`
	// PaddingBytes is how much is added to the payload of each task.
	PaddingBytes int `json:"padding-bytes"`
}

// Width is a number of tasks and its weight among the widths of a mix.
type Width struct {
	Tasks  int     `json:"tasks"`
	Weight float64 `json:"weight"`
}

// DefaultPlan returns a small load of one class.
func DefaultPlan() Plan {
	return Plan{
		Rate: 20, Duration: loader.Duration(10 * time.Second), Seed: 1,
		InFlight: 1024, Connections: 128, Patience: loader.Duration(30 * time.Second),
		Mixes: []Mix{DefaultMix()},
	}
}

// DefaultMix returns jobs of one to fifty tasks with today's run times.
func DefaultMix() Mix {
	return Mix{
		Class: "counter", Team: "estimates", Weight: 1, RepeatableShare: 1,
		Widths:          []Width{{Tasks: 1, Weight: 1}, {Tasks: 10, Weight: 1}, {Tasks: 50, Weight: 1}},
		ShortestRunTime: loader.Duration(50 * time.Millisecond),
		LongestRunTime:  loader.Duration(120 * time.Millisecond),
	}
}

// ParsePlan reads a plan from JSON; what it leaves out has its default. A mix that
// leaves out its widths, weight or class has those of DefaultMix.
func ParsePlan(content []byte) (Plan, error) {
	plan := DefaultPlan()
	var given struct {
		Mixes []json.RawMessage `json:"mixes"`
	}
	if err := json.Unmarshal(content, &given); err != nil {
		return plan, malformed("read plan", "%v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return plan, malformed("read plan", "%v", err)
	}
	if given.Mixes == nil {
		plan.Mixes = []Mix{DefaultMix()}
		return plan, nil
	}
	plan.Mixes = nil
	for _, raw := range given.Mixes {
		mix := DefaultMix()
		if err := json.Unmarshal(raw, &mix); err != nil {
			return plan, malformed("read plan", "%v", err)
		}
		plan.Mixes = append(plan.Mixes, mix)
	}
	return plan, nil
}

// Check returns the first thing that makes the plan impossible.
func (plan *Plan) Check() error {
	switch {
	case !(plan.Rate > 0 && plan.Rate <= maxRate):
		return malformed("check plan", "rate is %v; it must be over 0 and at most %v jobs a second", plan.Rate, maxRate)
	case plan.Duration <= 0:
		return malformed("check plan", "duration is %v; it must be over 0", plan.Duration.Std())
	case plan.InFlight < 1 || plan.Connections < 1 || plan.Patience <= 0:
		return malformed("check plan", "in-flight, connections and patience must be over 0")
	case len(plan.Mixes) == 0:
		return malformed("check plan", "there is no mix of jobs")
	}
	for index := range plan.Mixes {
		if err := plan.Mixes[index].check(); err != nil {
			return &Error{Operation: fmt.Sprintf("check mix %d", index), Kind: ErrorKindMalformed, Err: err}
		}
	}
	return nil
}

// maxRate bounds the jobs of a second; one process can't send more.
const maxRate = 1e6

func (mix *Mix) check() error {
	switch {
	case mix.Class == "" || mix.Team == "":
		return malformed("check", "class and team must not be empty")
	case !(mix.Weight > 0):
		return malformed("check", "weight is %v; it must be over 0", mix.Weight)
	case mix.ShortestRunTime < 0 || mix.LongestRunTime < mix.ShortestRunTime:
		return malformed("check", "longest-run-time must not be under shortest-run-time, nor that under 0")
	case !(mix.RepeatableShare >= 0 && mix.RepeatableShare <= 1):
		return malformed("check", "repeatable-share is %v; it must be from 0 to 1", mix.RepeatableShare)
	case mix.Deadline < 0 || mix.PaddingBytes < 0:
		return malformed("check", "deadline and padding-bytes must not be under 0")
	case len(mix.Widths) == 0:
		return malformed("check", "there is no width")
	}
	for _, width := range mix.Widths {
		if width.Tasks < 1 || !(width.Weight > 0) {
			return malformed("check", "a width of %d tasks with weight %v; both must be over 0", width.Tasks, width.Weight)
		}
	}
	return nil
}
