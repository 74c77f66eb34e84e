package once

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fake/service"
	"github.com/sesamemux/sesamemux/pkg/ledger"
	"github.com/sesamemux/sesamemux/pkg/object"
	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/prove/recordlog"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	gateCount   = 3
	hostCount   = 2
	serviceName = "records"
	gatePermits = 64
	callTimeout = 12 * time.Second
	settleTime  = 3 * time.Minute

	replicaDelay  = time.Millisecond
	snapshotEvery = 20 // entries of the log
)

// world holds one run.
type world struct {
	plan     plan
	network  *network
	record   *service.Record
	services []*service.Service
	log      recordLog
	quorum   *recordlog.Quorum // the log, if it is one of replicas
	view     *view.View
	ledger   ledger.Ledger
	stop     context.CancelFunc
	work     sync.WaitGroup

	mu        sync.Mutex
	rand      *rand.Rand
	gates     []*gate // the process in force of each gate
	all       []*gate // every process that ever was
	struck    int
	logStruck int
	outageEnd time.Time
	healed    bool
	requests  int
}

func newWorld(seed uint64, p plan) *world {
	w := &world{
		plan:    p,
		network: newNetwork(),
		record:  service.NewRecord(),
		view:    view.New(),
		rand:    rand.New(rand.NewPCG(seed, 7)),
	}
	s := object.Service{
		Name:       serviceName,
		OnceOnly:   []object.Call{{Method: http.MethodPost, Path: "/stamp"}},
		KeyHeader:  service.KeyHeader,
		Timeout:    callTimeout,
		Retention:  time.Hour,
		MaxRecords: 1000,
		MaxAnswer:  4096,
	}
	asked, bars := w.chance(2), w.chance(2)
	if p.asking != "" {
		asked, bars = p.asking != NotAsked, p.asking == Barred
	}
	if asked {
		s.OutcomePath = service.OutcomePath
	}
	w.startLog(seed, object.Set{Services: []object.Service{s}})
	w.view.Revision = 1
	w.view.Services.Put(s.Name, s, 1)
	w.view.Organisations.Put("boia", object.Organisation{Name: "boia"}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	for n := range hostCount {
		w.startService(ctx, n, bars)
	}
	for n := range gateCount {
		w.view.Gates.Put(gateName(n), view.Gate{Name: gateName(n), Incarnation: 1, PeerAddress: peerAddress(gateName(n))}, 1)
	}
	for n := range gateCount {
		w.startGate(n, 1)
	}
	w.spawn(func() { w.supervise(ctx) })
	return w
}

// startLog starts the log: three replicas if the plan strikes them.
func (w *world) startLog(seed uint64, set object.Set) {
	o := machine.Options{Unsafe: w.plan.machine}
	if !w.plan.replicas {
		w.log = newSequence(o, set, w.plan.restarts)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	q, err := recordlog.New(ctx, recordlog.Config{
		Set:           set,
		Options:       o,
		Delay:         replicaDelay,
		SnapshotEvery: snapshotEvery,
		Seed:          seed,
	})
	if err != nil {
		panic(err)
	}
	w.log = q
	w.quorum = q
}

func (w *world) startService(ctx context.Context, n int, bars bool) {
	h := view.Host{
		Name:        view.HostName(fmt.Sprintf("r%d", n)),
		Incarnation: 1,
		Kind:        view.KindService,
		Address:     fmt.Sprintf("10.0.0.%d:80", n),
		Service:     serviceName,
	}
	w.view.Hosts.Put(h.Name, h, 1)
	target := view.HostTarget(h.Name)
	share := view.Share{Target: target, Incarnation: 1, Bound: gatePermits * gateCount, Cold: gatePermits * gateCount}
	for g := range gateCount {
		share.Gates = append(share.Gates, view.GateShare{Gate: gateName(g), Permits: w.permits(g)})
	}
	w.view.Shares.Put(target, share, 1)
	s := service.New(service.Config{Host: h, Listener: w.network.listen(h.Address), Record: w.record, RejectQueriedAttempts: bars})
	w.services = append(w.services, s)
	w.spawn(func() { _ = s.Run(ctx) })
}

// permits is the part of each host's share that a gate has.
func (w *world) permits(gate int) int {
	if w.plan.handOver && gate > 0 {
		return 0
	}
	return gatePermits
}

func gateName(n int) view.GateName { return view.GateName(fmt.Sprintf("g%d", n)) }

func (w *world) startGate(n int, inc view.Incarnation) {
	g := newGate(w, gateName(n), inc)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, g)
	if n < len(w.gates) {
		w.gates[n] = g
		return
	}
	w.gates = append(w.gates, g)
}

// spawn runs a duty that ends before the world does.
func (w *world) spawn(f func()) {
	w.work.Add(1)
	go func() {
		defer w.work.Done()
		f()
	}()
}

// later runs something after a while.
func (w *world) later(d time.Duration, f func()) {
	w.spawn(func() {
		time.Sleep(d)
		f()
	})
}

// supervise renews leases, tells the log of gates that are gone, starts dead
// gates again, and lets replicated time pass.
func (w *world) supervise(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		w.propose(ctx, recordlog.Command{Tick: true})
		for n, g := range w.current() {
			g.renew()
			if g.lapse() {
				gone := recordlog.GateGone{Gate: g.name, Incarnation: g.inc}
				w.later(0, func() { w.proposeUntilDone(gone) })
			}
			if at, dead := g.died(); dead && time.Since(at) > restartTime {
				w.startGate(n, g.inc+1)
			}
		}
	}
}

func (w *world) propose(ctx context.Context, c recordlog.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTime)
	defer cancel()
	c.At = now()
	_, err := w.log.Propose(ctx, c)
	return err == nil
}

// proposeUntilDone tells the log that a gate is gone. It may be told twice.
func (w *world) proposeUntilDone(gone recordlog.GateGone) {
	for !w.propose(context.Background(), recordlog.Command{GateGone: &gone}) {
		time.Sleep(lostTime)
	}
}

func (w *world) current() []*gate {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*gate(nil), w.gates...)
}

// chance is true once in n times.
func (w *world) chance(n int) bool { return w.pick(n) == 0 }

func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

// heal ends all faults.
func (w *world) heal() {
	w.mu.Lock()
	w.healed = true
	w.mu.Unlock()
	for _, s := range w.services {
		s.SetFault(service.Fault{})
	}
}

// close ends every process.
func (w *world) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	var errs []error
	w.mu.Lock()
	all := w.all
	w.mu.Unlock()
	for _, g := range all {
		if g.peers != nil {
			errs = append(errs, g.peers.Close())
		}
		errs = append(errs, g.proxy.Close(ctx))
	}
	w.stop()
	w.work.Wait()
	return errors.Join(append(errs, w.log.Close())...)
}
