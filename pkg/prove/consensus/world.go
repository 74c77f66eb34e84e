package consensus

import (
	"context"
	"errors"
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/replica/memnet"
)

const (
	clientCount        = 5
	registerCount      = 3
	electionLimit      = 20 * time.Second
	catchUpTime        = 3 * time.Second
	probeTimeout       = 500 * time.Millisecond
	minKnownOperations = 30 // operations with a known outcome, for a meaningful check
)

// world is a cluster with clients, into which faults are injected.
type world struct {
	seed    uint64
	opts    options
	net     *memnet.Network
	members []replica.Peer
	history *history

	mu        sync.Mutex
	rand      *rand.Rand
	processes []*process

	clientsPaused atomic.Bool // clients send nothing
	stopClients   chan struct{}
	clients       sync.WaitGroup
}

func defaultConditions() memnet.Conditions {
	return memnet.Conditions{MinDelay: time.Millisecond, MaxDelay: 3 * time.Millisecond}
}

func newWorld(seed uint64, opts options) *world {
	if opts.replicas == 0 {
		opts.replicas = 3
	}
	if opts.snapshotEvery == 0 {
		opts.snapshotEvery = 40
	}
	w := &world{
		seed:        seed,
		opts:        opts,
		net:         memnet.New(seed, defaultConditions()),
		history:     newHistory(),
		rand:        rand.New(rand.NewPCG(seed, 5)),
		stopClients: make(chan struct{}),
	}
	for id := raft.ID(1); int(id) <= opts.replicas; id++ {
		w.members = append(w.members, replica.Peer{ID: id, Address: "mem"})
	}
	for _, m := range w.members {
		w.addProcess(m.ID, false)
	}
	return w
}

func (w *world) addProcess(id raft.ID, join bool) *process {
	p := newProcess(w, id, join)
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go p.run()
	return p
}

func (w *world) all() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*process(nil), w.processes...)
}

func (w *world) process(id raft.ID) *process {
	for _, p := range w.all() {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (w *world) ids() []raft.ID {
	var ids []raft.ID
	for _, p := range w.all() {
		ids = append(ids, p.id)
	}
	return ids
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

// leader waits for a replica that serves linearizable reads.
func (w *world) leader() (*process, error) {
	for begin := time.Now(); time.Since(begin) < electionLimit; {
		for _, p := range w.all() {
			if p.up() && w.servesReads(p) {
				return p, nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, errors.Join(eris.Errorf("no leader within %v", electionLimit), w.failures())
}

// failures returns the errors of the replicas that can't restart.
func (w *world) failures() error {
	var errs []error
	for _, p := range w.all() {
		errs = append(errs, p.err())
	}
	return errors.Join(errs...)
}

func (w *world) servesReads(p *process) bool {
	node, _, alive := p.instance()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := node.ReadIndex(ctx)
	return err == nil && alive.Load()
}

// followers returns all processes except the leader and those that can't restart.
func (w *world) followers(leader *process) []*process {
	var ps []*process
	for _, p := range w.all() {
		if p != leader && p.err() == nil {
			ps = append(ps, p)
		}
	}
	return ps
}

// isolate cuts the links between a process and all others.
func (w *world) isolate(p *process) {
	for _, id := range w.ids() {
		if id != p.id {
			w.net.Isolate(p.id, id)
		}
	}
}

func (w *world) startClients() {
	for i := range clientCount {
		c := newClient(w, i)
		w.clients.Add(1)
		go c.run()
	}
}

// finish heals all faults, waits for recovery, and checks the history and the states.
func (w *world) finish() error {
	w.net.Heal()
	w.net.SetFilter(nil)
	w.net.SetConditions(defaultConditions())
	for _, p := range w.all() {
		p.setHeld(false)
	}
	if _, err := w.leader(); err != nil {
		return err
	}
	time.Sleep(catchUpTime)
	close(w.stopClients)
	w.clients.Wait()
	if err := w.finalReads(); err != nil {
		return err
	}
	if n := w.history.knownCount(); n < minKnownOperations {
		return eris.Errorf("only %d operations have a known outcome, too few to check", n)
	}
	if err := w.history.check(); err != nil {
		return err
	}
	return w.checkConverged()
}

func (w *world) finalReads() error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	_, state, _ := leader.instance()
	for key := range registerCount {
		called := w.history.now()
		w.history.add(clientCount, input{kind: opRead, key: key}, output{value: state.get(key)}, called)
	}
	return nil
}

// checkConverged compares the states of all replicas that can run.
func (w *world) checkConverged() error {
	time.Sleep(catchUpTime)
	var first *process
	for _, p := range w.all() {
		if p.err() != nil {
			continue
		}
		if !p.up() {
			return eris.Errorf("replica %d is down", p.id)
		}
		if first == nil {
			first = p
			continue
		}
		_, a, _ := first.instance()
		_, b, _ := p.instance()
		if !reflect.DeepEqual(a.copy(), b.copy()) {
			return eris.Errorf("replicas %d and %d hold different states", first.id, p.id)
		}
	}
	return nil
}

// close stops all goroutines and waits for them.
func (w *world) close() {
	select {
	case <-w.stopClients:
	default:
		close(w.stopClients)
	}
	for _, p := range w.all() {
		close(p.quit)
	}
	for _, p := range w.all() {
		<-p.ended
	}
	w.clients.Wait()
}
