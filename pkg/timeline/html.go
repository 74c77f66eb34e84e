package timeline

import (
	"html/template"
	"io"

	"github.com/rotisserie/eris"
)

// pageTemplate is self-contained: it refers to no external resources.
var pageTemplate = template.Must(template.New("timeline").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>sesamemux time line</title>
<style>
body { font: 13px sans-serif; margin: 1em; }
.scroll { overflow-x: auto; border: 1px solid #ccc; }
text { font: 11px sans-serif; fill: #333; }
.row { stroke: #e4e4e4; }
.tick { stroke: #f2f2f2; }
.link { fill: none; stroke: #9ab; stroke-width: 1; opacity: .6; }
.plain { fill: #47c; } .good { fill: #2a3; } .bad { fill: #c33; } .leaving { fill: #d80; }
pre { font-size: 11px; overflow-x: auto; }
</style>
</head>
<body>
<h1>Time line</h1>
<p>Events in causal order, one column each; hold the pointer over one to read it.
Lines join the events of one request or change.
{{if .Omitted}}{{.Omitted}} older events are omitted; filter to see them.{{end}}</p>
<div class="scroll">
<svg width="{{.Width}}" height="{{.Height}}" xmlns="http://www.w3.org/2000/svg">
{{$p := .}}
{{range .Ticks}}<line class="tick" x1="{{.X}}" y1="20" x2="{{.X}}" y2="{{$p.Height}}"/><text x="{{.X}}" y="14">{{.Text}}</text>
{{end}}{{range .Lanes}}<line class="row" x1="{{$p.Label}}" y1="{{.Y}}" x2="{{$p.Width}}" y2="{{.Y}}"/><text x="4" y="{{.Y}}" dy="4">{{.Title}}</text>
{{end}}{{range .Links}}<polyline class="link" points="{{.Points}}"/>
{{end}}{{range .Dots}}<circle class="{{.Class}}" cx="{{.X}}" cy="{{.Y}}" r="{{$p.Radius}}"><title>{{.Text}}</title></circle>
{{end}}</svg>
</div>
<pre>
{{range .Lines}}{{.}}
{{end}}</pre>
</body>
</html>
`))

// WriteHTML writes merged events as one self-contained page with one lane for
// each process, domain and group, one for views and one for orders.
func WriteHTML(w io.Writer, events []Event) error {
	return eris.Wrap(pageTemplate.Execute(w, newPage(events)), "write time line page")
}
