package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

const (
	// ackTime is the time within which an operator's change must be acknowledged.
	ackTime = 5 * time.Second
	// inForceTime is the time from the acknowledgement of a change until it is in force everywhere.
	inForceTime = 2500 * time.Millisecond
	// operatorPatience is how long an operator waits for an answer before it asks another coordinator.
	operatorPatience = time.Second
)

// shortProcessor is a coordinator's processor on which each message takes a while.
type shortProcessor struct {
	perMessage, perKiB time.Duration
}

// shortProcessors are coordinators that handle 500 and 300 messages a second.
var shortProcessors = map[string]shortProcessor{
	"500 messages a second": {2 * time.Millisecond, 500 * time.Microsecond},
	"300 messages a second": {3300 * time.Microsecond, 800 * time.Microsecond},
}

func TestAcknowledgedChangesAreInForceWhileCoordinatorsAreShortOfProcessor(t *testing.T) {
	for name, p := range shortProcessors {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 1, fleetSize{entries: 40, plain: 12})
				for _, c := range f.cores {
					f.network.LimitProcessor(c.name, p.perMessage, p.perKiB)
				}
				var work sync.WaitGroup
				for i := range 16 {
					work.Go(func() { f.changeDocument(i%len(f.cores), int64(10+i)) })
					if i%4 == 0 {
						h := f.hosts[i/4]
						work.Go(func() { f.drain(h) })
					}
					time.Sleep(400 * time.Millisecond)
				}
				work.Wait()
				for _, c := range f.cores {
					f.network.FreeProcessor(c.name)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// changeDocument sends a document until a coordinator acknowledges it, and checks that it then is in
// force.
func (f *testFleet) changeDocument(core int, version int64) {
	began := time.Now()
	for i := core; ; i++ {
		if time.Since(began) > 2*ackTime {
			f.t.Errorf("version %d was not acknowledged in %v", version, 2*ackTime)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
		err := f.cores[i%len(f.cores)].c.Load().PutDocument(ctx, fmt.Appendf(nil, "document %d", version))
		cancel()
		if err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	acknowledged := time.Since(began)
	if acknowledged > ackTime {
		f.t.Errorf("version %d was acknowledged after %v", version, acknowledged)
	}
	time.Sleep(inForceTime)
	for _, p := range f.entries {
		if got := p.g.Load().index.Load().Set.Version; got < version {
			f.t.Errorf("%s holds version %d, %v after the acknowledgement of version %d", p.name, got, inForceTime, version)
		}
	}
}

// drain announces the end of an upstream until that is acknowledged, and checks that no entry host
// then sends requests to it.
func (f *testFleet) drain(h *simulatedHost) {
	h.mu.Lock()
	h.record.State = fleet.Draining
	h.record.Sequence++
	u := h.record
	h.mu.Unlock()
	began := time.Now()
	for i := 0; ; i++ {
		if time.Since(began) > 2*ackTime {
			f.t.Errorf("the end of %s was not acknowledged in %v", h.name, 2*ackTime)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
		_, err := f.cores[i%len(f.cores)].c.Load().Announce(ctx, u)
		cancel()
		if err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if took := time.Since(began); took > ackTime {
		f.t.Errorf("the end of %s was acknowledged after %v", h.name, took)
	}
	time.Sleep(inForceTime)
	for _, p := range f.entries {
		b := p.g.Load().balancer
		b.mu.Lock()
		if t := b.targets[u.ID]; t != nil && t.State == fleet.Ready {
			f.t.Errorf("%s still sends requests to %s, %v after its end was acknowledged", p.name, h.name, inForceTime)
		}
		b.mu.Unlock()
	}
}
