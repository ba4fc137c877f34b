package measurer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// maxHistograms bounds the pairs of team and class that have a histogram of their
	// own. Callers choose both names, so without a bound a caller could exhaust the
	// memory. 256 histograms take 6 MB.
	maxHistograms = 256
	// otherName is the team and class of the histogram that all further pairs share.
	otherName = "other"
	// longestResponse is the upper end of the range of a histogram.
	longestResponse = 10 * time.Minute
	// significantFigures gives percentiles within 1%.
	significantFigures = 2
)

// label identifies the histogram of a team and class.
type label struct {
	team  identifier.TeamID
	class identifier.ClassName
}

// histograms holds the response times by team and class, in microseconds.
type histograms struct {
	byLabel map[label]*hdrhistogram.Histogram
	order   []label
}

// Summary describes the response times of one team and class, in milliseconds.
type Summary struct {
	Team  identifier.TeamID    `json:"team"`
	Class identifier.ClassName `json:"class"`
	Count int64                `json:"count"`
	P50   float64              `json:"p50-ms"`
	P90   float64              `json:"p90-ms"`
	P99   float64              `json:"p99-ms"`
	Max   float64              `json:"max-ms"`
}

func newHistograms() *histograms {
	return &histograms{byLabel: make(map[label]*hdrhistogram.Histogram)}
}

func (histograms *histograms) record(name label, response time.Duration) {
	histogram := histograms.histogramFor(name)
	// A time above the range is recorded as longestResponse.
	_ = histogram.RecordValue(min(max(response, 0), longestResponse).Microseconds())
}

func (histograms *histograms) histogramFor(name label) *hdrhistogram.Histogram {
	if known := histograms.byLabel[name]; known != nil {
		return known
	}
	if len(histograms.order) >= maxHistograms-1 {
		name = label{team: otherName, class: otherName}
	}
	if known := histograms.byLabel[name]; known != nil {
		return known
	}
	created := hdrhistogram.New(1, longestResponse.Microseconds(), significantFigures)
	histograms.byLabel[name] = created
	histograms.order = append(histograms.order, name)
	return created
}

// summaries lists the histograms in the order in which they were created.
func (histograms *histograms) summaries() []Summary {
	summaries := make([]Summary, 0, len(histograms.order))
	for _, name := range histograms.order {
		histogram := histograms.byLabel[name]
		summaries = append(summaries, Summary{
			Team:  name.team,
			Class: name.class,
			Count: histogram.TotalCount(),
			P50:   milliseconds(histogram.ValueAtQuantile(50)),
			P90:   milliseconds(histogram.ValueAtQuantile(90)),
			P99:   milliseconds(histogram.ValueAtQuantile(99)),
			Max:   milliseconds(histogram.Max()),
		})
	}
	return summaries
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
