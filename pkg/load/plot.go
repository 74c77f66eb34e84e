package load

import (
	"bytes"
	"html/template"
	"image/color"
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// palette holds the colours of lines, in turn.
var palette = []color.RGBA{
	{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
}

// line is one named line of a plot.
type line struct {
	name   string
	points plotter.XYs
}

// drawLines returns a plot as SVG.
func drawLines(title, x, y string, lines []line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	for n, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.points)
		if err != nil {
			return "", eris.Wrap(err, "line "+l.name)
		}
		drawn.Color = palette[n%len(palette)]
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", eris.Wrap(err, "write plot")
	}
	return template.HTML(inlineSVG(b.Bytes())), nil
}

// inlineSVG drops what stands before the svg element.
func inlineSVG(b []byte) []byte {
	if i := bytes.Index(b, []byte("<svg")); i > 0 {
		return b[i:]
	}
	return b
}

// secondsPlot shows how requests ended over time.
func (r *Report) secondsPlot() (template.HTML, error) {
	done, refused, failed := line{name: "done"}, line{name: "refused as not run"}, line{name: "other"}
	for _, s := range r.Seconds {
		x := float64(s.Second)
		done.points = append(done.points, plotter.XY{X: x, Y: float64(s.Done)})
		refused.points = append(refused.points, plotter.XY{X: x, Y: float64(s.Refused)})
		failed.points = append(failed.points, plotter.XY{X: x, Y: float64(s.Failed)})
	}
	return drawLines("Requests by the second in which they were due", "s", "requests", []line{done, failed, refused})
}

// firstPlot shows the time to the first token over time.
func (r *Report) firstPlot() (template.HTML, error) {
	first := line{name: "95 in 100"}
	for _, s := range r.Seconds {
		first.points = append(first.points, plotter.XY{X: float64(s.Second), Y: s.FirstTokenP95})
	}
	return drawLines("Time to first token", "s", "ms", []line{first})
}

// distributionPlot shows the latencies over all organisations, with the share
// of requests on a scale of nines.
func (r *Report) distributionPlot() (template.HTML, error) {
	var lines []line
	for _, l := range r.Latencies {
		if l.Organisation != allTogether {
			continue
		}
		x := line{name: l.Series}
		for _, q := range l.quantiles {
			x.points = append(x.points, plotter.XY{X: -math.Log10(1 - q.share), Y: q.millis})
		}
		lines = append(lines, x)
	}
	return drawLines("Latencies", "share of requests (1: 90 %, 2: 99 %, 3: 99.9 %)", "ms", lines)
}
