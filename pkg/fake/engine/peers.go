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

// peerLoop monitors the other members of the group while this member is its head.
// A lost member makes the group fail; a member that does not answer stalls it.
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
		e.markStalled(r, address)
		return
	}
	member := err == nil && s.Group == r.group && s.Epoch == r.epoch
	ready := member && s.Phase == report.PhaseReady
	previous, known := seen[address]
	switch {
	case ready && (!known || previous.Incarnation == s.Incarnation):
		seen[address] = s
		e.clearStalled(r, address)
	case known:
		e.failGroup(r, address)
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
		return report.Status{}, eris.Wrap(errPeerReport, err.Error())
	}
	return rep.Status, nil
}

func (e *Engine) markStalled(r role, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role.epoch == r.epoch && e.stalledBy == "" {
		e.stalledBy = address
		e.log.Warn("peer does not answer; the group is stalled", "group", r.group, "peer", address)
	}
}

func (e *Engine) clearStalled(r role, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role.epoch == r.epoch && e.stalledBy == address {
		e.stalledBy = ""
		notify(e.wake)
	}
}

// failGroup marks the head as failed and aborts the running requests.
func (e *Engine) failGroup(r role, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role.epoch != r.epoch || e.role.phase != report.PhaseReady {
		return
	}
	e.role.phase = report.PhaseFailed
	e.abortAll(errMemberLost)
	e.log.Warn("peer is lost; the group has failed", "group", r.group, "epoch", r.epoch, "peer", address)
}
