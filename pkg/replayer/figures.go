package replayer

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// Figures are the results of a replay, as `replay --json` prints them. The same trace, policy
// and seed give the same bytes.
type Figures struct {
	// Jobs counts submissions: a resend adds none, a resubmission adds one.
	Jobs           int `json:"jobs"`
	Tasks          int `json:"tasks"`
	JobsComplete   int `json:"jobs-complete"`
	JobsFailed     int `json:"jobs-failed"`
	JobsRefused    int `json:"jobs-refused"`
	JobsUnanswered int `json:"jobs-unanswered"`
	TasksStarted   int `json:"tasks-started"`
	// Violations are sentences that name the violated guarantee, the submission and the moment.
	Violations            []string     `json:"violations"`
	ResponseOverIdeal     Distribution `json:"response-over-ideal"`
	MessagesPerTask       float64      `json:"messages-per-task"`
	WastedMessagesPerTask float64      `json:"wasted-messages-per-task"`
	// ControlBytesPerSecond is printed sorted by entry host.
	ControlBytesPerSecond map[identifier.HostID]float64 `json:"control-bytes-per-second"`
	Policy                string                        `json:"policy"`
	Seed                  uint64                        `json:"seed"`
}

// Distribution summarizes a set of ratios. All fields are zero for an empty set.
type Distribution struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// Measurements are the raw counts of one replay from which Figures are computed.
type Measurements struct {
	Policy string
	Seed   uint64
	// Length is the virtual duration of the replay, without the time before the trace.
	Length time.Duration
	Jobs   int
	Tasks  int
	// Complete, Failed and Refused count submissions by the answer that the caller received.
	Complete, Failed, Refused int
	TasksStarted              int
	Violations                []string
	// ResponsesOverIdeal holds response time over ideal response time of each complete job.
	ResponsesOverIdeal []float64
	Messages           int
	// WastedMessages sums, over all messages, the fraction of each that was not needed.
	WastedMessages float64
	ControlBytes   []HostBytes
}

// HostBytes is the size of the control traffic that one entry host sent and that backend servers
// sent to it.
type HostBytes struct {
	Host  identifier.HostID
	Bytes identifier.Bytes
}

// NewFigures computes the printed figures from raw measurements.
func NewFigures(measurements *Measurements) *Figures {
	answered := measurements.Complete + measurements.Failed + measurements.Refused
	figures := &Figures{
		Jobs:                  measurements.Jobs,
		Tasks:                 measurements.Tasks,
		JobsComplete:          measurements.Complete,
		JobsFailed:            measurements.Failed,
		JobsRefused:           measurements.Refused,
		JobsUnanswered:        measurements.Jobs - answered,
		TasksStarted:          measurements.TasksStarted,
		Violations:            append([]string{}, measurements.Violations...),
		ResponseOverIdeal:     NewDistribution(measurements.ResponsesOverIdeal),
		MessagesPerTask:       ratio(float64(measurements.Messages), measurements.Tasks),
		WastedMessagesPerTask: ratio(measurements.WastedMessages, measurements.Tasks),
		ControlBytesPerSecond: make(map[identifier.HostID]float64),
		Policy:                measurements.Policy,
		Seed:                  measurements.Seed,
	}
	for _, host := range measurements.ControlBytes {
		figures.ControlBytesPerSecond[host.Host] = perSecond(host.Bytes, measurements.Length)
	}
	return figures
}

// NewDistribution summarizes ratios. Percentiles are computed by nearest rank.
func NewDistribution(ratios []float64) Distribution {
	if len(ratios) == 0 {
		return Distribution{}
	}
	sorted := slices.Sorted(slices.Values(ratios))
	sum := 0.0
	for _, value := range sorted {
		sum += value
	}
	return Distribution{
		Mean: rounded(sum / float64(len(sorted))),
		P50:  rounded(nearestRank(sorted, 0.50)),
		P99:  rounded(nearestRank(sorted, 0.99)),
		Max:  rounded(sorted[len(sorted)-1]),
	}
}

// JSON returns the figures as one line of JSON, with a line break at its end.
func (figures *Figures) JSON() ([]byte, error) {
	line, err := json.Marshal(figures)
	if err != nil {
		return nil, newError("print figures", ErrorEncoding, err)
	}
	return append(line, '\n'), nil
}

// Value returns the value of a figure for which a trace may state an upper bound.
func (figures *Figures) Value(figure tracer.Figure) float64 {
	switch figure {
	case tracer.FigureJobs:
		return float64(figures.Jobs)
	case tracer.FigureTasks:
		return float64(figures.Tasks)
	case tracer.FigureJobsComplete:
		return float64(figures.JobsComplete)
	case tracer.FigureJobsFailed:
		return float64(figures.JobsFailed)
	case tracer.FigureJobsRefused:
		return float64(figures.JobsRefused)
	case tracer.FigureJobsUnanswered:
		return float64(figures.JobsUnanswered)
	case tracer.FigureTasksStarted:
		return float64(figures.TasksStarted)
	case tracer.FigureViolations:
		return float64(len(figures.Violations))
	case tracer.FigureResponseOverIdeal, tracer.FigureResponseOverIdealMean:
		return figures.ResponseOverIdeal.Mean
	case tracer.FigureResponseOverIdealP50:
		return figures.ResponseOverIdeal.P50
	case tracer.FigureResponseOverIdealP99:
		return figures.ResponseOverIdeal.P99
	case tracer.FigureResponseOverIdealMax:
		return figures.ResponseOverIdeal.Max
	case tracer.FigureMessagesPerTask:
		return figures.MessagesPerTask
	case tracer.FigureWastedMessagesPerTask:
		return figures.WastedMessagesPerTask
	case tracer.FigureControlBytesPerSecond:
		return figures.mostControlBytesPerSecond()
	case tracer.FigureSeed:
		return float64(figures.Seed)
	}
	// A figure that the parser accepts but that has no case above must not be zero, since
	// every expectation on it would then hold.
	return math.Inf(1)
}

func (figures *Figures) mostControlBytesPerSecond() float64 {
	most := 0.0
	for _, value := range figures.ControlBytesPerSecond {
		most = max(most, value)
	}
	return most
}

func nearestRank(sorted []float64, quantile float64) float64 {
	rank := int(math.Ceil(quantile * float64(len(sorted))))
	return sorted[max(rank, 1)-1]
}

func ratio(part float64, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return rounded(part / float64(whole))
}

func perSecond(bytes identifier.Bytes, length time.Duration) float64 {
	if length <= 0 {
		return 0
	}
	return rounded(float64(bytes) / length.Seconds())
}

// rounded rounds to six decimals, which are enough to compare policies and still readable.
func rounded(value float64) float64 {
	const scale = 1e6
	return math.Round(value*scale) / scale
}
