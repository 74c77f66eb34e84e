package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
)

const (
	// joinTimeout bounds a request to join, at the joiner and at the leader.
	joinTimeout = 4 * callTimeout
	// joinLogInterval is how often a joiner logs that it has no assignment yet.
	joinLogInterval = 2 * time.Second
)

// joiner requests a replica assignment from all known coordinators at once, as only the leader grants one and
// it may change meanwhile.
type joiner struct {
	coordinator *Coordinator
	request     control.FleetJoinRequest
	assigned    chan control.FleetJoinResult // buffered, for one
	outcomes    joinOutcomes
	asking      sync.WaitGroup
}

func newJoiner(c *Coordinator, held replicaAssignment) *joiner {
	return &joiner{
		coordinator: c,
		request:     control.FleetJoinRequest{Address: c.cfg.PeerAddress, Holds: uint64(held.Replica), Cluster: held.Cluster},
		assigned:    make(chan control.FleetJoinResult, 1),
	}
}

// run asks until a leader answers or ctx ends.
func (j *joiner) run(ctx context.Context) (control.FleetJoinResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer j.asking.Wait()
	defer cancel()
	j.ask(ctx, j.coordinator.caller.Addresses()...)
	tick := time.NewTicker(joinLogInterval)
	defer tick.Stop()
	for {
		select {
		case result := <-j.assigned:
			return result, nil
		case <-ctx.Done():
			return control.FleetJoinResult{}, eris.Wrap(ctx.Err(), "request replica assignment")
		case <-tick.C:
			j.outcomes.log(j.coordinator.cfg.Logger)
		}
	}
}

// ask begins to ask those coordinators that are not asked already.
func (j *joiner) ask(ctx context.Context, addresses ...string) {
	for _, address := range addresses {
		if address != "" && address != j.request.Address && j.outcomes.begin(address) {
			j.asking.Go(func() { j.askRepeatedly(ctx, address) })
		}
	}
}

func (j *joiner) askRepeatedly(ctx context.Context, address string) {
	for ctx.Err() == nil {
		calling, cancel := context.WithTimeout(ctx, joinTimeout)
		var result control.FleetJoinResult
		err := j.coordinator.caller.CallAt(calling, address, control.MethodFleetJoin, j.request, &result)
		cancel()
		if err == nil {
			select {
			case j.assigned <- result:
			default: // another leader answered first; the replica assigned here stays silent and is removed
				j.coordinator.cfg.Logger.Warn("surplus replica assignment ignored", "replica", result.Replica, "leader", address)
			}
			return
		}
		outcome, data := newJoinOutcome(address, err)
		j.outcomes.record(address, outcome)
		j.ask(ctx, data.Leader)
		j.ask(ctx, data.Coordinators...)
		clock.Sleep(ctx, reopenDelay)
	}
}
