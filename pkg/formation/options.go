package formation

import "time"

const (
	// rejoinTime is how long a join takes on a host whose last group served
	// the same model.
	rejoinTime = 200 * time.Millisecond
	// orderRetry is the pause before an order that failed is given again.
	orderRetry = 300 * time.Millisecond
	// formSlack is added to the expected time of a join before the group is
	// given up: an order may be carried out late.
	formSlack = 4 * time.Second
	// drainLimit bounds how long running requests of a group may hold up its
	// end; a draining member serves its head for 10 s at most.
	drainLimit = 9 * time.Second
	// HostSilenceTimeout is the silence of a host after which it is probed: two
	// announcements and their way.
	HostSilenceTimeout = 2600 * time.Millisecond
	// adoptAfter is how long a new planner collects announcements before it
	// judges groups that it did not form: two announcement intervals.
	adoptAfter = 2500 * time.Millisecond
	// meetWithin is when a new planner asks after hosts that have not announced
	// themselves: one announcement interval and its way.
	meetWithin = 1600 * time.Millisecond
	// settleTime is the calm after the last new host before the first groups
	// are formed, so that they are planned over whole domains.
	settleTime = 500 * time.Millisecond
	// settleLimit bounds that wait.
	settleLimit = 4500 * time.Millisecond
	// loadShare is the part of the load ceiling that the planner uses; the
	// rest is for loads that start late.
	loadShare = 0.9
)
