package measurer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// maxHistograms bounds the pairs of team and class that have a histogram of their
	// own. A caller chooses both names, so that without a bound it could fill the
	// memory with them. 256 histograms take 6 MB.
	maxHistograms = 256
	// otherName stands for all pairs beyond the bound.
	otherName = "other"
	// longestResponse is the longest time that a histogram tells apart.
	longestResponse = 10 * time.Minute
	// significantFigures gives percentiles within 1%.
	significantFigures = 2
)

// label names the histogram of a team and class.
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
	histogram := histograms.of(name)
	// A time beyond the range counts as the longest.
	_ = histogram.RecordValue(min(max(response, 0), longestResponse).Microseconds())
}

func (histograms *histograms) of(name label) *hdrhistogram.Histogram {
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

// summaries lists the pairs in the order of their first answers.
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
