package control

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/keeper"
	"github.com/sesamemux/sesamemux/pkg/memconn"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// snapshotEvery is small, so that snapshots fall into every run.
	snapshotEvery = 40
	// latency is the way between two hosts of one region.
	latency = time.Millisecond
	// askTimeout bounds a question to a replica.
	askTimeout = 500 * time.Millisecond
	// settleTime is for how long a run goes on after its last fault.
	settleTime = 8 * time.Second
)

// options shape a run and switch protections off.
type options struct {
	gates       int
	engines     int
	keepers     keeper.Unsafe
	ignoreLease bool          // gates take work without a lease
	notice      time.Duration // that gates give of a shutdown
	abrupt      bool          // a shutdown ends connections at once
	look        time.Duration // between two looks of the balancer; 0: checkInterval
}

// bed is a small deployment in memory.
type bed struct {
	seed    uint64
	options options
	net     *memconn.Network
	started time.Time

	mu   sync.Mutex
	rand *rand.Rand
	born uint64 // incarnations handed out

	keepers []*keeperProcess
	gates   []*gateProcess
	engines []*engineProcess
}

func newBed(seed uint64, o options) *bed {
	b := &bed{
		seed:    seed,
		options: o,
		net:     memconn.New(latency),
		rand:    rand.New(rand.NewPCG(seed, 11)),
		started: time.Now(),
	}
	for id := raft.ID(1); id <= 3; id++ {
		b.keepers = append(b.keepers, newKeeperProcess(b, id))
	}
	for i := range o.gates {
		b.gates = append(b.gates, newGateProcess(b, view.GateName("g"+strconv.Itoa(i+1))))
	}
	for i := range o.engines {
		b.engines = append(b.engines, newEngineProcess(b, i))
	}
	return b
}

// start brings everything up and waits until all gates hold a lease.
func (b *bed) start() error {
	for _, k := range b.keepers {
		if err := k.start(); err != nil {
			return err
		}
	}
	for _, g := range b.gates {
		g.start()
	}
	for _, e := range b.engines {
		e.start()
	}
	return b.await("leases of all gates", func() bool {
		for _, g := range b.gates {
			if !g.takesWork() {
				return false
			}
		}
		return true
	})
}

// stop ends every process.
func (b *bed) stop() {
	b.net.HealAll()
	for _, e := range b.engines {
		e.kill()
	}
	for _, g := range b.gates {
		g.kill()
	}
	for _, k := range b.keepers {
		k.kill()
	}
	// Dials and pings that were under way end by their own timeouts.
	time.Sleep(settleTime)
}

// await waits until something holds.
func (b *bed) await(what string, holds func() bool) error {
	const limit = 30 * time.Second
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return eris.Errorf("no %s within %v", what, limit)
}

// leader returns the keeper that thinks it leads and is not cut off.
func (b *bed) leader() *keeperProcess {
	var found *keeperProcess
	_ = b.await("leader", func() bool {
		for _, k := range b.keepers {
			if k.leads() {
				found = k
				return true
			}
		}
		return false
	})
	return found
}

func (b *bed) members() []replica.Peer {
	var out []replica.Peer
	for id := raft.ID(1); id <= 3; id++ {
		out = append(out, replica.Peer{ID: id, Address: keeperAddress(id)})
	}
	return out
}

func (b *bed) keeperAddresses() []string {
	var out []string
	for _, m := range b.members() {
		out = append(out, m.Address)
	}
	return out
}

// incarnation returns one that was never used.
func (b *bed) incarnation() view.Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.born++
	return view.Incarnation(b.born)
}

// dialer opens connections from a host as long as its process is alive.
func (b *bed) dialer(host string, alive *atomic.Bool) rpc.DialFunc {
	dial := b.net.Dialer(host)
	return func(ctx context.Context, address string) (net.Conn, error) {
		if !alive.Load() {
			return nil, syscall.ENETDOWN
		}
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		return dial(ctx, address)
	}
}

// others returns the hosts of all processes but one.
func (b *bed) others(host string) []string {
	var out []string
	for _, k := range b.keepers {
		if k.host != host {
			out = append(out, k.host)
		}
	}
	for _, g := range b.gates {
		if string(g.name) != host {
			out = append(out, string(g.name))
		}
	}
	return append(out, operatorHost)
}

// between returns a random time from a to b.
func (b *bed) between(least, most time.Duration) time.Duration {
	return least + time.Duration(b.intN(int(most-least)))
}

// intN returns a random number below n.
func (b *bed) intN(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rand.IntN(n)
}
