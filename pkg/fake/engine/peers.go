package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
)

const (
	peerInterval = 200 * time.Millisecond
	peerTimeout  = 500 * time.Millisecond
)

// peerLoop lets the head watch the other members. A member that is gone kills
// the group; one that does not answer stalls it.
func (e *Engine) peerLoop(ctx context.Context) error {
	seen := make(map[string]report.Status)
	for {
		e.faults.waitPause(ctx)
		r, watch := e.headRole()
		if !watch {
			clear(seen)
		}
		for rank, address := range r.peers {
			if watch && rank != 0 {
				e.watchPeer(ctx, r, address, seen)
			}
		}
		if !sleep(ctx, peerInterval) {
			return nil
		}
	}
}

func (e *Engine) headRole() (role, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role, e.role.rank == 0 && e.role.phase == report.PhaseReady
}

func (e *Engine) watchPeer(ctx context.Context, r role, address string, seen map[string]report.Status) {
	s, err := e.peerStatus(ctx, address)
	if ctx.Err() != nil {
		return
	}
	if err != nil && timedOut(err) {
		e.stall(r, address)
		return
	}
	member := err == nil && s.Group == r.group && s.Epoch == r.epoch
	ready := member && s.Phase == report.PhaseReady
	before, was := seen[address]
	switch {
	case ready && (!was || before.Incarnation == s.Incarnation):
		seen[address] = s
		e.unstall(r, address)
	case was:
		e.breakGroup(r, address)
	}
}

func timedOut(err error) bool {
	return os.IsTimeout(err) || errors.Is(err, context.DeadlineExceeded)
}

func (e *Engine) peerStatus(ctx context.Context, address string) (report.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+report.Path, nil)
	if err != nil {
		return report.Status{}, err
	}
	res, err := e.client.Do(req)
	if err != nil {
		return report.Status{}, err
	}
	defer func() { _ = res.Body.Close() }()
	var rep report.Report
	if err := json.NewDecoder(res.Body).Decode(&rep); err != nil {
		return report.Status{}, eris.Wrap(errPeer, err.Error())
	}
	return rep.Status, nil
}

func (e *Engine) stall(r role, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role.epoch == r.epoch && e.stalledBy == "" {
		e.stalledBy = address
		e.log.Warn("peer does not answer", "group", r.group, "peer", address)
	}
}

func (e *Engine) unstall(r role, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role.epoch == r.epoch && e.stalledBy == address {
		e.stalledBy = ""
		notify(e.wake)
	}
}

// breakGroup makes the head fail: the running requests are cut off.
func (e *Engine) breakGroup(r role, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role.epoch != r.epoch || e.role.phase != report.PhaseReady {
		return
	}
	e.role.phase = report.PhaseFailed
	e.cutAll(errBroken)
	e.log.Warn("peer is gone, group is dead", "group", r.group, "epoch", r.epoch, "peer", address)
}
