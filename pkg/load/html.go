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

// page is the data of reportTemplate.
type page struct {
	*Report
	Plots []template.HTML
}

// WriteHTML writes the report as one self-contained page.
func (r *Report) WriteHTML(w io.Writer) error {
	p := page{Report: r}
	for _, plot := range []func() (template.HTML, error){r.secondsPlot, r.firstTokenPlot, r.distributionPlot} {
		svg, err := plot()
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, svg)
	}
	return eris.Wrap(reportTemplate.Execute(w, p), "write report")
}
