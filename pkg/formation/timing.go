package formation

import "time"

const (
	// rejoinTime is how long a join takes on a host whose last group served the same model.
	rejoinTime = 200 * time.Millisecond
	// orderRetryDelay is the delay before a failed order is repeated.
	orderRetryDelay = 300 * time.Millisecond
	// deferredRetryDelay is the delay before a deferred order is given again. Hosts report with some
	// delay that they are free.
	deferredRetryDelay = 100 * time.Millisecond
	// lateOrderTime is how long after it was given an order may still be carried out.
	lateOrderTime = 15 * time.Second
	// joinSlack is added to the expected time of a join before the group is abandoned: orders may
	// be executed late.
	joinSlack = 4 * time.Second
	// drainTimeout bounds the draining of a group; a draining member serves its head for at most 10
	// s.
	drainTimeout = 9 * time.Second
	// HostSilenceTimeout is the time without an announcement after which a host is probed: two
	// announcement intervals and the network delay.
	HostSilenceTimeout = 2600 * time.Millisecond
	// adoptDelay is how long a new planner collects announcements before it decides about groups
	// that it did not form: two announcement intervals.
	adoptDelay = 2500 * time.Millisecond
	// firstAnnouncementTimeout is when a new planner probes hosts that have not announced
	// themselves to it: one announcement interval and the network delay.
	firstAnnouncementTimeout = 1600 * time.Millisecond
	// hostSettleTime is the time without new hosts after which the first groups are formed, so that
	// whole domains are known.
	hostSettleTime = 500 * time.Millisecond
	// maxSettleTime bounds the wait for new hosts.
	maxSettleTime = 4500 * time.Millisecond
	// loadCeilingShare is the share of the load ceiling that the planner uses; the rest covers
	// loads that start late.
	loadCeilingShare = 0.9
)
