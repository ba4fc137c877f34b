package sizer

import (
	"fmt"
	"io"
	"strings"
)

// Render writes a result as Markdown tables.
func Render(writer io.Writer, result *Result) {
	size := result.Size
	_, _ = fmt.Fprintf(writer, "%d workers, %.0f starts/s in jobs of %.0f tasks of %.1f s, %d teams, %d failure domains, %d hosts, %d keepers, "+
		"%.0f changes of %s a day, answers of %s kept for %.0f s, %.0f%% of the jobs not repeatable.\n\n",
		size.Workers, size.StartsPerSec, size.TasksPerJob, size.MeanRunTimeSeconds, size.Teams, size.FailureDomains,
		size.Hosts, size.Keepers, size.ChangesPerDay, bytes(size.ConfigBytes), bytes(size.AnswerBytes),
		size.RetentionSeconds, size.NotRepeatableShare*100)
	_, _ = fmt.Fprintln(writer, "| role | part | state | messages | processor | memory | mechanism |")
	_, _ = fmt.Fprintln(writer, "|---|---|---|---|---|---|---|")
	for _, row := range result.Rows {
		writeRow(writer, row.Role, row.Part, row.State, row.Messages, row.Processor, row.Memory, row.Mechanism)
	}
	_, _ = fmt.Fprintln(writer, "\n| check | value | bound | fits | what would make it fit |")
	_, _ = fmt.Fprintln(writer, "|---|---|---|---|---|")
	for _, check := range result.Checks {
		fits, advice := "yes", ""
		if !check.Fits {
			fits, advice = "**no**", check.Advice
		}
		writeRow(writer, check.What, check.Value, check.Bound, fits, advice)
	}
}

// RenderSlopes writes the measured slopes as a Markdown table.
func RenderSlopes(writer io.Writer, slopes *Slopes) {
	_, _ = fmt.Fprintln(writer, "| slope | value | points | fit | command |")
	_, _ = fmt.Fprintln(writer, "|---|---|---|---|---|")
	for _, slope := range slopes.List() {
		value := fmt.Sprintf("%g %s", slope.Value, slope.Unit)
		writeRow(writer, slope.Name, value, slope.Points, slope.Fit, "`"+slope.Command+"`")
	}
}

func writeRow(writer io.Writer, cells ...string) {
	_, _ = fmt.Fprintln(writer, "| "+strings.Join(cells, " | ")+" |")
}
