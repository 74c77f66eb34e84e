package timeline

// Filter selects events; an empty field matches every event.
type Filter struct {
	Request string `json:"request,omitempty"`
	Group   string `json:"group,omitempty"`
	Host    string `json:"host,omitempty"`
	Domain  string `json:"domain,omitempty"` // domain that the event concerns, or failure domain of its process
	Change  string `json:"change,omitempty"`
	After   HLC    `json:"after,omitzero"`
}

// Match reports whether the filter selects an event.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Request) &&
		matches(f.Group, e.Group) &&
		matches(f.Host, e.Host) &&
		(matches(f.Domain, e.Domain) || matches(f.Domain, e.FailureDomain)) &&
		matches(f.Change, e.Change) &&
		e.At.Compare(f.After) > 0
}

func matches(want, have string) bool { return want == "" || want == have }

// Select returns the events that match, in their original order.
func Select(events []Event, f Filter) []Event {
	var list []Event
	for _, e := range events {
		if f.Match(e) {
			list = append(list, e)
		}
	}
	return list
}
