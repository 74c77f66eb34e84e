package load

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/rotisserie/eris"
)

//go:embed report.html
var reportHTML string

var reportTemplate = template.Must(template.New("report").Parse(reportHTML))

// page is what the template shows.
type page struct {
	*Report
	Plots []template.HTML
}

// WriteHTML writes the report as one page that needs nothing else.
func (r *Report) WriteHTML(w io.Writer) error {
	p := page{Report: r}
	for _, plot := range []func() (template.HTML, error){r.secondsPlot, r.firstPlot, r.distributionPlot} {
		svg, err := plot()
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, svg)
	}
	return eris.Wrap(reportTemplate.Execute(w, p), "write report")
}
