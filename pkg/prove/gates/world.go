package gates

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	networkLatency = time.Millisecond
	modelGroup     = "assistant"
)

// world holds everything of one scenario.
type world struct {
	network        *network
	keeper         *keeper
	withoutReports bool // gates get no reports from engines

	mu           sync.Mutex // guards the lists below against concurrent use by tickLoop
	gates        []*gate
	hosts        []*host
	incarnations uint64
	epochs       view.Epoch
	wg           sync.WaitGroup
	done         chan struct{}
	limits       object.ModelGroup
	ledger       ledger
}

func newWorld(o permit.Options) *world {
	w := &world{
		network: newNetwork(networkLatency),
		keeper:  newKeeper(o),
		done:    make(chan struct{}),
		limits:  object.ModelGroup{Name: modelGroup, Version: "v1", MaxInFlight: 32, ColdInFlight: 4, RampTime: 4 * time.Second},
	}
	w.keeper.update(func(v *view.View, r view.Revision) {
		v.ModelGroups.Put(modelGroup, w.limits, r)
		v.Organisations.Put("boia", object.Organisation{Name: "boia", Weight: 1, MaxQueued: 1000}, r)
		v.Organisations.Put("nile", object.Organisation{Name: "nile", Weight: 1, MaxQueued: 1000}, r)
	})
	w.spawn(w.tickLoop)
	return w
}

// spawn starts a goroutine that close waits for.
func (w *world) spawn(f func()) {
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		f()
	}()
}

func (w *world) tickLoop() {
	t := time.NewTicker(keeperTick)
	defer t.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-t.C:
			w.keeper.tick()
			w.deliverReports()
		}
	}
}

// deliverReports delivers the engines' reports to the gates.
func (w *world) deliverReports() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.withoutReports {
		return
	}
	for _, h := range w.hosts {
		for _, g := range w.gates {
			if !h.dead.Load() && !g.dead.Load() {
				g.proxy.ReportReceived(h.engine.Report(0))
			}
		}
	}
}

func (w *world) serve(address string, h http.Handler) *http.Server {
	s := &http.Server{Handler: h}
	l := w.network.listen(address)
	w.spawn(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, errClosed) {
			return
		}
	})
	return s
}

var errClosed = http.ErrServerClosed

// publishGroup publishes a serving group with one host.
func (w *world) publishGroup(h *host, id view.GroupID, domain string) error {
	w.epochs++
	epoch := w.epochs
	if err := h.order(id, epoch); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	inc := h.engine.Incarnation()
	w.keeper.update(func(v *view.View, r view.Revision) {
		v.Hosts.Put(h.name, view.Host{Name: h.name, Incarnation: inc, Address: h.address, FailureDomain: domain}, r)
		v.Groups.Put(id, view.Group{
			ID:            id,
			ModelGroup:    modelGroup,
			Epoch:         epoch,
			State:         view.StateServing,
			Version:       "v1",
			FailureDomain: domain,
			Members:       []view.Member{{Host: h.name, Incarnation: inc, Address: h.address}},
		}, r)
	})
	w.keeper.apply(permit.TargetUp{
		Target:      view.GroupTarget(id),
		Incarnation: inc,
		Max:         w.limits.MaxInFlight,
		Cold:        w.limits.ColdInFlight,
		RampTime:    w.limits.RampTime,
	})
	return nil
}

// close stops all processes and waits for their goroutines.
func (w *world) close() {
	for _, g := range w.gates {
		g.kill()
	}
	for _, h := range w.hosts {
		h.kill()
	}
	close(w.done)
	w.wg.Wait()
	time.Sleep(closeTime)
}

// closeTime exceeds the time that a proxy keeps a permit for an attempt that may run.
const closeTime = 2 * time.Minute

// warmModel returns a model that can take full load from its start.
func warmModel() engine.ModelOptions {
	m := fastModel()
	m.ColdTime = 0
	return m
}

func fastModel() engine.ModelOptions {
	m := engine.DefaultModelOptions()
	m.StepBase = 10 * time.Millisecond
	return m
}
