package reporter

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/rotisserie/eris"
	"github.com/wcharczuk/go-chart/v2"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// page, section and legendEntry are the data of the template in page.html.
type page struct {
	Title    string
	Sections []section
}

type section struct {
	Scenario string
	Legend   []legendEntry
	Charts   []template.HTML
	Rows     []Row
}

type legendEntry struct {
	Policy string
	Colour template.CSS
}

// Write writes the report as one HTML page. The same rows give the same bytes. The
// error is ErrorNoRows if there are no rows.
func Write(target io.Writer, title string, rows []Row) error {
	if len(rows) == 0 {
		return newError("write report", ErrorNoRows, eris.New("there is nothing to draw"))
	}
	content := page{Title: title}
	for _, group := range groupByScenario(rows) {
		section, err := newSection(group)
		if err != nil {
			return err
		}
		content.Sections = append(content.Sections, section)
	}
	if err := pageTemplate.Execute(target, content); err != nil {
		return newError("write report", ErrorWriting, err)
	}
	return nil
}

func newSection(group scenarioRows) (section, error) {
	result := section{Scenario: group.scenario, Rows: group.rows}
	names := policyNames(group.rows)
	for number, name := range names {
		result.Legend = append(result.Legend, legendEntry{Policy: name, Colour: template.CSS(chart.GetDefaultColor(number).String())})
	}
	for _, measure := range measures {
		drawing, err := drawChart(measure, group.rows, names)
		if err != nil {
			return section{}, err
		}
		result.Charts = append(result.Charts, drawing)
	}
	return result, nil
}
