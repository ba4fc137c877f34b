package reporter

import (
	"bytes"
	"fmt"
	"html/template"

	"github.com/wcharczuk/go-chart/v2"
)

// measure is a figure of a row that is drawn as a chart of its own.
type measure struct {
	title string
	value func(row Row) float64
	// floor is the start of the value axis. Ratios over the ideal are never below 1.
	floor float64
}

var measures = []measure{
	{"response over ideal, mean", func(row Row) float64 { return row.Mean }, 1},
	{"response over ideal, median", func(row Row) float64 { return row.P50 }, 1},
	{"response over ideal, p99", func(row Row) float64 { return row.P99 }, 1},
	{"response over ideal, max", func(row Row) float64 { return row.Max }, 1},
	{"wasted messages per task", func(row Row) float64 { return row.WastedPerTask }, 0},
}

const (
	chartWidth  = 560
	chartHeight = 320
	lineWidth   = 2
	dotWidth    = 3
	// axisMargin keeps the highest point away from the edge. It also keeps an axis
	// whose values are all equal from having no length, which the library can't draw.
	axisMargin = 0.05
)

// drawChart returns an SVG chart of one measure over load, with a line per policy.
func drawChart(measure measure, rows []Row, names []string) (template.HTML, error) {
	drawing := chart.Chart{
		Title:      measure.title,
		TitleStyle: chart.Style{FontSize: 11},
		Width:      chartWidth,
		Height:     chartHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 10, Right: 10, Bottom: 10}},
		XAxis:      chart.XAxis{Name: "load", Ticks: loadTicks(rows)},
		YAxis:      chart.YAxis{Range: valueRange(measure, rows), ValueFormatter: formatValue},
	}
	for number, name := range names {
		drawing.Series = append(drawing.Series, newSeries(measure, rows, name, number))
	}
	var buffer bytes.Buffer
	if err := drawing.Render(chart.SVG, &buffer); err != nil {
		return "", newError("draw chart", ErrorDrawing, err)
	}
	// The SVG needs no escaping: the library generates it, and its only texts are the
	// fixed titles above. Names of policies are in the legend, which the page escapes.
	return template.HTML(buffer.String()), nil
}

func newSeries(measure measure, rows []Row, policy string, number int) chart.Series {
	series := chart.ContinuousSeries{
		Style: chart.Style{
			StrokeColor: chart.GetDefaultColor(number),
			StrokeWidth: lineWidth,
			DotColor:    chart.GetDefaultColor(number),
			DotWidth:    dotWidth,
		},
	}
	for _, row := range rows {
		if row.Policy == policy {
			series.XValues = append(series.XValues, row.Load)
			series.YValues = append(series.YValues, measure.value(row))
		}
	}
	return series
}

// loadTicks returns a labelled tick for each replayed load. The library ends the axis
// at the outermost ticks, so one without a label is added at either end.
func loadTicks(rows []Row) []chart.Tick {
	low, high := rows[0].Load, rows[len(rows)-1].Load
	ticks := []chart.Tick{{Value: max(low-axisMargin, 0)}}
	for _, row := range rows {
		if row.Load > ticks[len(ticks)-1].Value {
			ticks = append(ticks, chart.Tick{Value: row.Load, Label: fmt.Sprintf("%.0f%%", row.Load*100)})
		}
	}
	return append(ticks, chart.Tick{Value: high + axisMargin})
}

func valueRange(measure measure, rows []Row) chart.Range {
	high := measure.floor + axisMargin
	for _, row := range rows {
		high = max(high, measure.value(row)*(1+axisMargin))
	}
	return &chart.ContinuousRange{Min: measure.floor, Max: high}
}

func formatValue(value any) string { return fmt.Sprintf("%.3g", value) }
