package loadgenerator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Headers names the columns of Rows.
func Headers() []string {
	return []string{
		"CLASS", "JOBS", "COMPLETE", "FAILED", "REFUSED", "MISSING",
		"MEAN", "P50", "P90", "P99", "MAX", "P50-MS", "P99-MS", "REASONS",
	}
}

// Rows returns the summary as one row a class. MEAN to MAX are response over
// ideal.
func (summary *Summary) Rows() [][]string {
	var rows [][]string
	for index := range summary.Classes {
		rows = append(rows, summary.Classes[index].row())
	}
	return rows
}

func (class *ClassSummary) row() []string {
	missing := class.Wrong + class.Errors + class.Unanswered + class.Unsent
	row := []string{string(class.Class)}
	for _, count := range []int{class.Jobs, class.Complete, class.Failed, class.Refused, missing} {
		row = append(row, fmt.Sprint(count))
	}
	ratios := class.Ratios
	for _, ratio := range []float64{ratios.Mean, ratios.P50, ratios.P90, ratios.P99, ratios.Max} {
		row = append(row, fmt.Sprintf("%.3f", ratio))
	}
	row = append(row, fmt.Sprintf("%.2f", class.Response.P50), fmt.Sprintf("%.2f", class.Response.P99))
	return append(row, class.reasons())
}

func (class *ClassSummary) reasons() string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(class.Reasons)) {
		parts = append(parts, fmt.Sprintf("%s:%d", reason, class.Reasons[reason]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ",")
}

// CompareHeaders names the columns of Compare.
func CompareHeaders() []string { return []string{"CLASS", "FIGURE", "THIS", "OTHER", "THIS/OTHER"} }

// Compare returns one row for each class and figure of both runs, side by side. A
// class of one run only is left out.
func Compare(this, other *Summary) [][]string {
	rows := [][]string{compared("all", "tasks/s", this.TasksPerSecond, other.TasksPerSecond)}
	for index := range this.Classes {
		first := &this.Classes[index]
		position := slices.IndexFunc(other.Classes, func(class ClassSummary) bool { return class.Class == first.Class })
		if position >= 0 {
			rows = append(rows, compareClass(first, &other.Classes[position])...)
		}
	}
	return rows
}

func compareClass(this, other *ClassSummary) [][]string {
	name := string(this.Class)
	return [][]string{
		compared(name, "complete", float64(this.Complete), float64(other.Complete)),
		compared(name, "refused", float64(this.Refused), float64(other.Refused)),
		compared(name, "mean", this.Ratios.Mean, other.Ratios.Mean),
		compared(name, "p50", this.Ratios.P50, other.Ratios.P50),
		compared(name, "p90", this.Ratios.P90, other.Ratios.P90),
		compared(name, "p99", this.Ratios.P99, other.Ratios.P99),
		compared(name, "max", this.Ratios.Max, other.Ratios.Max),
		compared(name, "p50-ms", this.Response.P50, other.Response.P50),
		compared(name, "p99-ms", this.Response.P99, other.Response.P99),
	}
}

func compared(class, figure string, this, other float64) []string {
	ratio := "-"
	if other != 0 {
		ratio = fmt.Sprintf("%.3f", this/other)
	}
	return []string{class, figure, fmt.Sprintf("%.6g", this), fmt.Sprintf("%.6g", other), ratio}
}
