package loadgenerator

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Summary is what a run found.
type Summary struct {
	Plan  Plan      `json:"plan"`
	Hosts []string  `json:"hosts"`
	Begun time.Time `json:"begun"`
	// Seconds is how long the run took until the last answer.
	Seconds float64 `json:"seconds"`
	Jobs    int     `json:"jobs"`
	// CompleteTasks counts the tasks of complete jobs.
	CompleteTasks  int     `json:"complete-tasks"`
	TasksPerSecond float64 `json:"tasks-per-second"`
	// SentLate tells how long after their moments the jobs were sent. Where it is
	// not small the generator or its bounds were the bottleneck.
	SentLate Times          `json:"sent-late"`
	Classes  []ClassSummary `json:"classes"`
	Timeline []Second       `json:"timeline"`
}

// Times sums up times in milliseconds.
type Times struct {
	Mean float64 `json:"mean-ms"`
	P50  float64 `json:"p50-ms"`
	P99  float64 `json:"p99-ms"`
	Max  float64 `json:"max-ms"`
}

// ClassSummary is what became of the jobs of a class.
type ClassSummary struct {
	Class      identifier.ClassName `json:"class"`
	Jobs       int                  `json:"jobs"`
	Complete   int                  `json:"complete"`
	Failed     int                  `json:"failed"`
	Refused    int                  `json:"refused"`
	Wrong      int                  `json:"wrong"`
	Errors     int                  `json:"errors"`
	Unanswered int                  `json:"unanswered"`
	Unsent     int                  `json:"unsent"`
	// Reasons counts the jobs that are not complete by the reason told.
	Reasons  map[string]int `json:"reasons,omitempty"`
	Ratios   Ratios         `json:"response-over-ideal"`
	Response Times          `json:"response"`
	// Curve is response over ideal at rising quantiles.
	Curve []Quantile `json:"curve"`
}

// Ratios sums up response over ideal.
type Ratios struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// Quantile is one point of a curve; Percent is from 0 to 100.
type Quantile struct {
	Percent float64 `json:"percent"`
	Value   float64 `json:"value"`
}

// Second is what became of the jobs that were due in one second.
type Second struct {
	Due      int     `json:"due"`
	Complete int     `json:"complete"`
	Refused  int     `json:"refused"`
	Missing  int     `json:"missing"`
	P50      float64 `json:"p50-ms"`
	P99      float64 `json:"p99-ms"`
}

// ParseSummary reads what an earlier run has written as JSON.
func ParseSummary(content []byte) (*Summary, error) {
	summary := &Summary{}
	if err := json.Unmarshal(content, summary); err != nil {
		return nil, malformed("read summary", "%v", err)
	}
	if len(summary.Classes) == 0 {
		return nil, malformed("read summary", "it has no classes; is it the --json output of a load run?")
	}
	return summary, nil
}

// Missing counts the jobs without a whole answer, be it a failure or a refusal.
func (summary *Summary) Missing() int {
	missing := 0
	for index := range summary.Classes {
		class := &summary.Classes[index]
		missing += class.Wrong + class.Errors + class.Unanswered + class.Unsent
	}
	return missing
}

// Complete counts the complete jobs.
func (summary *Summary) Complete() int {
	complete := 0
	for index := range summary.Classes {
		complete += summary.Classes[index].Complete
	}
	return complete
}

func (tally *tally) summary(generator *Generator) *Summary {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	elapsed := time.Since(generator.begun).Seconds()
	result := &Summary{
		Plan: generator.Plan, Hosts: generator.Hosts, Begun: generator.begun.UTC(), Seconds: elapsed,
		Jobs: tally.running.Due, SentLate: timesOf(tally.late),
	}
	for _, class := range tally.classes {
		result.Classes = append(result.Classes, class.summary())
		result.CompleteTasks += class.tasks
	}
	slices.SortFunc(result.Classes, func(first, second ClassSummary) int {
		if first.Class < second.Class {
			return -1
		}
		return 1
	})
	result.TasksPerSecond = float64(result.CompleteTasks) / elapsed
	for _, second := range tally.seconds {
		result.Timeline = append(result.Timeline, Second{
			Due: second.due, Complete: second.complete, Refused: second.refused, Missing: second.missing,
			P50: millis(second.responses.ValueAtQuantile(50)), P99: millis(second.responses.ValueAtQuantile(99)),
		})
	}
	return result
}

func (class *classTally) summary() ClassSummary {
	result := ClassSummary{
		Class:      class.class,
		Complete:   class.counts[outcomeComplete],
		Failed:     class.counts[outcomeFailed],
		Refused:    class.counts[outcomeRefused],
		Wrong:      class.counts[outcomeWrong],
		Errors:     class.counts[outcomeError],
		Unanswered: class.counts[outcomeUnanswered],
		Unsent:     class.counts[outcomeUnsent],
		Reasons:    class.reasons,
		Ratios: Ratios{
			Mean: class.ratios.Mean() / ratioUnit,
			P50:  class.ratio(50), P90: class.ratio(90), P99: class.ratio(99), Max: class.ratio(100),
		},
		Response: timesOf(class.responses),
	}
	for _, count := range class.counts {
		result.Jobs += count
	}
	for _, percent := range curvePercents() {
		result.Curve = append(result.Curve, Quantile{Percent: percent, Value: class.ratio(percent)})
	}
	return result
}

func curvePercents() []float64 {
	return []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 97, 98, 99, 99.5, 99.9, 100}
}

func (class *classTally) ratio(percent float64) float64 {
	return float64(class.ratios.ValueAtQuantile(percent)) / ratioUnit
}

func timesOf(histogram *hdrhistogram.Histogram) Times {
	return Times{
		Mean: histogram.Mean() / 1000,
		P50:  millis(histogram.ValueAtQuantile(50)),
		P99:  millis(histogram.ValueAtQuantile(99)),
		Max:  millis(histogram.Max()),
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
