package loadgenerator

import (
	"bytes"
	"fmt"
	"html/template"
	"math"

	"github.com/rotisserie/eris"
	"github.com/wcharczuk/go-chart/v2"
)

const (
	chartWidth  = 640
	chartHeight = 360
	lineWidth   = 2
	dotWidth    = 3
)

// curve is one line of a plot.
type curve struct {
	name   string
	points []point
}

type point struct{ x, y float64 }

// plot is one plot of a page.
type plot struct {
	title, bottom string
	ticks         []chart.Tick
	curves        []curve
}

func drawCharts(runs []pageRun) ([]template.HTML, error) {
	var drawn []template.HTML
	for _, plot := range []plot{quantilePlot(runs), responsePlot(runs), outcomePlot(runs)} {
		drawing, err := plot.draw()
		if err != nil {
			return nil, err
		}
		drawn = append(drawn, drawing)
	}
	return drawn, nil
}

// quantilePlot stretches the upper quantiles: each step to the right has half as
// many jobs beyond it.
func quantilePlot(runs []pageRun) plot {
	result := plot{title: "response over ideal by quantile", bottom: "quantile"}
	for _, percent := range []float64{0, 50, 90, 99, 99.9} {
		result.ticks = append(result.ticks, chart.Tick{Value: stretched(percent), Label: fmt.Sprintf("%v%%", percent)})
	}
	for _, run := range runs {
		for _, class := range run.Summary.Classes {
			line := curve{name: run.Name + ", " + string(class.Class)}
			for _, quantile := range class.Curve {
				if quantile.Percent < 100 {
					line.points = append(line.points, point{stretched(quantile.Percent), quantile.Value})
				}
			}
			result.curves = append(result.curves, line)
		}
	}
	return result
}

func stretched(percent float64) float64 { return -math.Log2(1 - percent/100) }

func responsePlot(runs []pageRun) plot {
	result := plot{title: "response in ms, by the second when jobs were due", bottom: "s"}
	for _, run := range runs {
		result.curves = append(result.curves,
			run.timeline("p50", func(second Second) float64 { return second.P50 }),
			run.timeline("p99", func(second Second) float64 { return second.P99 }))
	}
	return result
}

func outcomePlot(runs []pageRun) plot {
	result := plot{title: "jobs by the second when they were due", bottom: "s"}
	for _, run := range runs {
		result.curves = append(result.curves,
			run.timeline("due", func(second Second) float64 { return float64(second.Due) }),
			run.timeline("complete", func(second Second) float64 { return float64(second.Complete) }),
			run.timeline("refused", func(second Second) float64 { return float64(second.Refused) }))
	}
	return result
}

func (run *pageRun) timeline(name string, value func(Second) float64) curve {
	line := curve{name: run.Name + ", " + name}
	for number, second := range run.Summary.Timeline {
		line.points = append(line.points, point{float64(number), value(second)})
	}
	return line
}

// draw returns the plot as SVG. The library escapes no text, so that the names of
// classes are escaped before they reach it.
func (plot *plot) draw() (template.HTML, error) {
	drawing := chart.Chart{
		Title: plot.title, TitleStyle: chart.Style{FontSize: 11},
		Width: chartWidth, Height: chartHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 10, Right: 10, Bottom: 10}},
		XAxis:      chart.XAxis{Name: plot.bottom, Ticks: plot.ticks},
		YAxis:      chart.YAxis{Range: plot.valueRange(), ValueFormatter: formatValue},
	}
	for number, curve := range plot.curves {
		drawing.Series = append(drawing.Series, curve.series(number))
	}
	drawing.Elements = []chart.Renderable{chart.LegendThin(&drawing)}
	var buffer bytes.Buffer
	if err := drawing.Render(chart.SVG, &buffer); err != nil {
		return "", &Error{Operation: "draw " + plot.title, Kind: ErrorKindDrawing, Err: eris.Wrap(err, "draw")}
	}
	return template.HTML(buffer.String()), nil
}

// series has a second point where there is only one: the library draws no axis of
// no length.
func (curve *curve) series(number int) chart.Series {
	series := chart.ContinuousSeries{
		Name: template.HTMLEscapeString(curve.name),
		Style: chart.Style{
			StrokeColor: chart.GetDefaultColor(number), StrokeWidth: lineWidth,
			DotColor: chart.GetDefaultColor(number), DotWidth: dotWidth,
		},
	}
	points := curve.points
	if len(points) == 0 {
		points = []point{{0, 0}}
	}
	if len(points) == 1 {
		points = append(points, point{points[0].x + 1, points[0].y})
	}
	for _, point := range points {
		series.XValues = append(series.XValues, point.x)
		series.YValues = append(series.YValues, point.y)
	}
	return series
}

func (plot *plot) valueRange() chart.Range {
	highest := 1.0
	for _, curve := range plot.curves {
		for _, point := range curve.points {
			highest = max(highest, point.y)
		}
	}
	return &chart.ContinuousRange{Min: 0, Max: highest * 1.05}
}

func formatValue(value any) string { return fmt.Sprintf("%.4g", value) }
