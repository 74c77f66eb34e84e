package coordinator

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// usageTTL is how long what a process has told about heads counts. It exceeds the longest time between
// sync calls with the way of a report; an entry host that calls another coordinator counts twice until
// then.
const usageTTL = 3 * time.Second

// usage is what one process has told about heads: an entry host about its own requests, a coordinator
// about those of the entry hosts that it answers.
type usage struct {
	control.FleetUsage
	at time.Duration
}

// takeUsage moves what a sync request tells about heads out of it.
func takeUsage(at time.Duration, req *control.FleetSyncRequest) usage {
	u := usage{at: at, FleetUsage: control.FleetUsage{
		Running: req.Running, AwaitingFirstEvent: req.AwaitingFirstEvent, OfferedLoad: req.OfferedLoad, SinceLastEventMS: req.SinceLastEventMS,
	}}
	req.Running, req.AwaitingFirstEvent, req.OfferedLoad, req.SinceLastEventMS = nil, nil, nil, nil
	return u
}

// totalUsage adds up what the processes of a server have told lately.
func (s *syncServer) totalUsage(now time.Duration) control.FleetUsage {
	total := control.FleetUsage{Running: map[string]int{}, AwaitingFirstEvent: map[string]int{}, OfferedLoad: map[string]float64{}, SinceLastEventMS: map[string]int64{}}
	for _, p := range s.processes {
		u := &p.usage
		if now-u.at > usageTTL {
			continue
		}
		for h, n := range u.Running {
			total.Running[h] += n
		}
		for h, n := range u.AwaitingFirstEvent {
			total.AwaitingFirstEvent[h] += n
		}
		for m, v := range u.OfferedLoad {
			total.OfferedLoad[m] += v
		}
		for h, ms := range u.SinceLastEventMS {
			ms += (now - u.at).Milliseconds()
			if known, ok := total.SinceLastEventMS[h]; !ok || ms < known {
				total.SinceLastEventMS[h] = ms
			}
		}
	}
	return total
}
