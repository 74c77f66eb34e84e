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
	// snapshotEvery, in entries, is small so that every run takes snapshots.
	snapshotEvery = 40
	// latency is the one-way latency between two hosts of a region.
	latency = time.Millisecond
	// requestTimeout limits dials and status requests to a replica.
	requestTimeout = 500 * time.Millisecond
	// settleTime is the time that a run continues after its last fault.
	settleTime = 8 * time.Second
)

// options configures a run and switches protections off.
type options struct {
	gates           int
	engines         int
	keepers         keeper.Unsafe
	ignoreLease     bool          // gates take work without a lease
	shutdownNotice  time.Duration // between a gate's announcement of its shutdown and the shutdown
	closeOnShutdown bool          // a shutdown closes connections at once
	healthInterval  time.Duration // between two health checks of the balancer; at least checkInterval
}

// testbed is a small in-memory deployment.
type testbed struct {
	seed    uint64
	options options
	net     *memconn.Network
	started time.Time

	mu           sync.Mutex
	rand         *rand.Rand
	incarnations uint64 // number of incarnations assigned

	keepers []*keeperProcess
	gates   []*gateProcess
	engines []*engineProcess
}

func newTestbed(seed uint64, o options) *testbed {
	b := &testbed{
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

// start starts all processes and waits until all gates hold a lease.
func (b *testbed) start() error {
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

// stop stops all processes.
func (b *testbed) stop() {
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
	// Pending dials and pings end by their own timeouts.
	time.Sleep(settleTime)
}

// await waits until a condition holds.
func (b *testbed) await(what string, holds func() bool) error {
	const limit = 30 * time.Second
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return eris.Errorf("no %s within %v", what, limit)
}

// leader waits for a keeper that considers itself the leader and returns it.
func (b *testbed) leader() *keeperProcess {
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

func (b *testbed) members() []replica.Peer {
	var out []replica.Peer
	for id := raft.ID(1); id <= 3; id++ {
		out = append(out, replica.Peer{ID: id, Address: keeperAddress(id)})
	}
	return out
}

func (b *testbed) keeperAddresses() []string {
	var out []string
	for _, m := range b.members() {
		out = append(out, m.Address)
	}
	return out
}

// incarnation returns a new incarnation.
func (b *testbed) incarnation() view.Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnations++
	return view.Incarnation(b.incarnations)
}

// dialer returns a function that opens connections from a host while its process runs.
func (b *testbed) dialer(host string, alive *atomic.Bool) rpc.DialFunc {
	dial := b.net.Dialer(host)
	return func(ctx context.Context, address string) (net.Conn, error) {
		if !alive.Load() {
			return nil, syscall.ENETDOWN
		}
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		return dial(ctx, address)
	}
}

// otherHosts returns the hosts of all keepers, gates and operators except one.
func (b *testbed) otherHosts(host string) []string {
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

// randomDuration returns a random duration from least to most.
func (b *testbed) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(b.intN(int(most-least)))
}

// intN returns a random number below n.
func (b *testbed) intN(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rand.IntN(n)
}
