package trier

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms hold response over ideal in thousandths, up to a thousandfold.
const (
	histogramUnit = 1000
	histogramMax  = 1000 * histogramUnit
)

// Report is what a trial found. It is safe for concurrent adding.
type Report struct {
	Jobs     int           `json:"jobs"`
	Complete int           `json:"jobs-complete"`
	Problems []string      `json:"problems"`
	Classes  []ClassReport `json:"classes"`

	mutex sync.Mutex
}

// ClassReport is the response over ideal of one class.
type ClassReport struct {
	Class string  `json:"class"`
	Jobs  int64   `json:"jobs"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`

	histogram *hdrhistogram.Histogram
}

func newReport() *Report { return &Report{Problems: []string{}} }

// Missing counts the jobs without a whole answer of their own.
func (report *Report) Missing() int { return report.Jobs - report.Complete }

func (report *Report) add(result outcome, progress io.Writer) {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	report.Jobs++
	ideal := result.job.longest + networkAllowance
	ratio := float64(result.response) / float64(ideal)
	if !result.complete {
		report.Problems = append(report.Problems, result.job.Submission+": "+result.problem)
	} else {
		report.Complete++
		report.record(result.job.Class, ratio)
	}
	if progress != nil {
		printOutcome(progress, result, ratio)
	}
}

func (report *Report) record(class string, ratio float64) {
	position := slices.IndexFunc(report.Classes, func(known ClassReport) bool { return known.Class == class })
	if position < 0 {
		position = len(report.Classes)
		report.Classes = append(report.Classes, ClassReport{Class: class, histogram: hdrhistogram.New(1, histogramMax, 3)})
	}
	entry := &report.Classes[position]
	// A ratio beyond the histogram's range counts as its largest value.
	_ = entry.histogram.RecordValue(min(int64(ratio*histogramUnit), histogramMax))
	entry.Jobs = entry.histogram.TotalCount()
	entry.Mean = entry.histogram.Mean() / histogramUnit
	entry.P50 = float64(entry.histogram.ValueAtQuantile(50)) / histogramUnit
	entry.P99 = float64(entry.histogram.ValueAtQuantile(99)) / histogramUnit
	entry.Max = float64(entry.histogram.Max()) / histogramUnit
}

func printOutcome(writer io.Writer, result outcome, ratio float64) {
	word := "complete"
	if !result.complete {
		word = result.problem
	}
	_, _ = fmt.Fprintf(writer, "%-12s %3d tasks  %-8s %8s  %5.2f of ideal\n",
		result.job.Submission, len(result.job.Tasks), word, result.response.Round(100*time.Microsecond), ratio)
}

// Print writes the report as a table.
func (report *Report) Print(writer io.Writer) {
	_, _ = fmt.Fprintf(writer, "\n%d jobs, %d complete\n\nresponse over ideal by class\n", report.Jobs, report.Complete)
	_, _ = fmt.Fprintf(writer, "%-10s %6s %7s %7s %7s %7s\n", "class", "jobs", "mean", "p50", "p99", "max")
	for _, class := range report.Classes {
		_, _ = fmt.Fprintf(writer, "%-10s %6d %7.3f %7.3f %7.3f %7.3f\n", class.Class, class.Jobs, class.Mean, class.P50, class.P99, class.Max)
	}
	for _, problem := range report.Problems {
		_, _ = fmt.Fprintln(writer, "problem: "+problem)
	}
}
