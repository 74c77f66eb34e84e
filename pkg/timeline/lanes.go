package timeline

import (
	"cmp"
	"slices"
)

// laneKind is the category of a lane.
type laneKind int

// The kinds of lanes, in the order in which they are shown.
const (
	processLane laneKind = iota
	viewLane
	orderLane
	domainLane
	groupLane
)

var laneTitles = map[laneKind]string{
	processLane: "process", viewLane: "views", orderLane: "orders", domainLane: "domain", groupLane: "group",
}

// lane is one row of a page.
type lane struct {
	kind laneKind
	name string
}

// title returns the lane's label.
func (l lane) title() string {
	if l.name == "" {
		return laneTitles[l.kind]
	}
	return laneTitles[l.kind] + " " + l.name
}

// lanesOf lists the lanes that show an event, the lane of its process first.
func lanesOf(e Event) []lane {
	list := []lane{{processLane, e.Process}}
	switch e.Kind {
	case ViewPublished, ViewInstalled, ChangeAccepted, ChangeInForce:
		list = append(list, lane{kind: viewLane})
	case OrderSent, OrderEnded:
		list = append(list, lane{kind: orderLane})
	}
	if e.Domain != "" {
		list = append(list, lane{domainLane, e.Domain})
	}
	if e.Group != "" {
		list = append(list, lane{groupLane, e.Group})
	}
	return list
}

// allLanes lists the lanes of all events, in the order in which they are shown.
func allLanes(events []Event) []lane {
	seen := make(map[lane]bool)
	var list []lane
	for _, e := range events {
		for _, l := range lanesOf(e) {
			if !seen[l] {
				seen[l] = true
				list = append(list, l)
			}
		}
	}
	slices.SortFunc(list, func(a, b lane) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
	return list
}
