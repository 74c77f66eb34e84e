package timeline

import (
	"fmt"
	"strings"
)

// Dimensions of a page, in pixels.
const (
	labelWidth   = 190
	columnWidth  = 14
	laneHeight   = 26
	headerHeight = 40
	dotRadius    = 5
	tickColumns  = 12 // columns between two axis labels
)

// maxPageEvents keeps a page small enough for browsers to render.
const maxPageEvents = 5000

// page is the data of pageTemplate.
type page struct {
	Width, Height int
	Label         int // width of the lanes' labels
	Radius        int
	Omitted       int // number of oldest events that are not shown
	Lanes         []pageLane
	Ticks         []pageTick
	Links         []pageLink
	Dots          []pageDot
	Lines         []string // the events as text
}

// pageLane is one row with its label.
type pageLane struct {
	Title string
	Y     int
}

// pageTick is one time label on the axis.
type pageTick struct {
	X    int
	Text string
}

// pageLink is a line through the events of one request or change.
type pageLink struct {
	Points string
}

// pageDot is one event in one lane.
type pageDot struct {
	X, Y  int
	Class string
	Text  string
}

// newPage lays out events that are in causal order, one column each, so that
// causes appear to the left of their effects.
func newPage(events []Event) page {
	p := page{Label: labelWidth, Radius: dotRadius}
	if omitted := len(events) - maxPageEvents; omitted > 0 {
		p.Omitted = omitted
		events = events[omitted:]
	}
	rows := make(map[lane]int)
	for i, l := range allLanes(events) {
		rows[l] = headerHeight + i*laneHeight + laneHeight/2
		p.Lanes = append(p.Lanes, pageLane{Title: l.title(), Y: rows[l]})
	}
	for i, e := range events {
		p.add(columnX(i), e, rows)
		if i%tickColumns == 0 {
			p.Ticks = append(p.Ticks, pageTick{X: columnX(i), Text: e.At.Time().Format("15:04:05.000")})
		}
	}
	p.Links = links(events, rows)
	p.Width = columnX(len(events)) + columnWidth
	p.Height = headerHeight + len(rows)*laneHeight + laneHeight
	return p
}

func columnX(i int) int { return labelWidth + columnWidth + i*columnWidth }

func (p *page) add(x int, e Event, rows map[lane]int) {
	text := e.String()
	p.Lines = append(p.Lines, text)
	for _, l := range lanesOf(e) {
		p.Dots = append(p.Dots, pageDot{X: x, Y: rows[l], Class: class(e.Kind), Text: text})
	}
}

// class returns the CSS class that colours an event by its effect on service.
func class(k Kind) string {
	switch k {
	case RequestRefused, RequestBroken, LeaseLapsed, UpstreamGone, ChangeRefused, QuarantineStarted:
		return "bad"
	case DrainStarted, UpstreamLeaving, ProcessStopping:
		return "leaving"
	case RequestFinished, ChangeInForce, DrainEnded, GroupFormed, QuarantineReleased:
		return "good"
	}
	return "plain"
}

// links connects the events of each request and each change across processes.
func links(events []Event, rows map[lane]int) []pageLink {
	points := make(map[string][]string)
	var order []string
	for i, e := range events {
		key := linkKey(e)
		if key == "" {
			continue
		}
		if points[key] == nil {
			order = append(order, key)
		}
		points[key] = append(points[key], fmt.Sprintf("%d,%d", columnX(i), rows[lane{processLane, e.Process}]))
	}
	var list []pageLink
	for _, key := range order {
		if len(points[key]) > 1 {
			list = append(list, pageLink{strings.Join(points[key], " ")})
		}
	}
	return list
}

func linkKey(e Event) string {
	switch {
	case e.Request != "":
		return "request " + e.Request
	case e.Change != "":
		return "change " + e.Change
	}
	return ""
}
