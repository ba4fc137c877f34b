package loadgenerator

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/rotisserie/eris"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// page is what the template prints.
type page struct {
	Charts         []template.HTML
	Runs           []pageRun
	CompareHeaders []string
	CompareRows    [][]string
}

// pageRun is one run on the page.
type pageRun struct {
	Name    string
	Summary *Summary
	Headers []string
	Rows    [][]string
}

// WritePage writes the plots and tables of a run as one HTML page that loads
// nothing from outside. other, if any, stands beside it.
func WritePage(target io.Writer, this, other *Summary) error {
	content := page{Runs: []pageRun{runOf("this run", this)}}
	if other != nil {
		content.Runs = append(content.Runs, runOf("other run", other))
		content.CompareHeaders = CompareHeaders()
		content.CompareRows = Compare(this, other)
	}
	charts, err := drawCharts(content.Runs)
	if err != nil {
		return err
	}
	content.Charts = charts
	if err := pageTemplate.Execute(target, content); err != nil {
		return &Error{Operation: "write page", Kind: ErrorKindDrawing, Err: eris.Wrap(err, "write")}
	}
	return nil
}

func runOf(name string, summary *Summary) pageRun {
	return pageRun{Name: name, Summary: summary, Headers: Headers(), Rows: summary.Rows()}
}
