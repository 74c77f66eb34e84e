package keeper

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// maxWait bounds one wait of an operator; the client asks again after it.
const maxWait = 10 * time.Second

// apply checks a set of objects and publishes it whole or not at all.
func (k *Keeper) apply(ctx context.Context, req control.ApplyRequest) (control.ChangeResult, error) {
	set, problems := object.Load(req.File, []byte(req.Text))
	if len(problems) > 0 {
		return control.ChangeResult{Problems: problems}, nil
	}
	if req.CheckOnly {
		return control.ChangeResult{}, nil
	}
	if req.ChangeID == "" {
		return control.ChangeResult{}, control.NewError(control.CodeInvalid, "a change needs a change ID", nil)
	}
	return k.change(ctx, "apply", req.ChangeID, req.BaseRevision, state.Command{Publish: &state.Publish{
		ChangeID:     req.ChangeID,
		BaseRevision: req.BaseRevision,
		Operator:     operatorName(ctx, req.Operator),
		Set:          set,
		Digest:       digest("apply", object.Format(set)),
	}})
}

// rollback publishes an earlier set as a new revision.
func (k *Keeper) rollback(ctx context.Context, req control.RollbackRequest) (control.ChangeResult, error) {
	if req.ChangeID == "" {
		return control.ChangeResult{}, control.NewError(control.CodeInvalid, "a change needs a change ID", nil)
	}
	return k.change(ctx, "rollback", req.ChangeID, req.BaseRevision, state.Command{Rollback: &state.Rollback{
		ChangeID:     req.ChangeID,
		BaseRevision: req.BaseRevision,
		To:           req.To,
		Operator:     operatorName(ctx, req.Operator),
		Digest:       digest("rollback", strconv.FormatUint(req.To, 10)),
	}})
}

// drain takes something out of service.
func (k *Keeper) drain(ctx context.Context, req control.DrainRequest) (control.ChangeResult, error) {
	return k.setDrain(ctx, req, false)
}

// restore takes it back in.
func (k *Keeper) restore(ctx context.Context, req control.DrainRequest) (control.ChangeResult, error) {
	return k.setDrain(ctx, req, true)
}

func (k *Keeper) setDrain(ctx context.Context, req control.DrainRequest, restore bool) (control.ChangeResult, error) {
	if req.ChangeID == "" {
		return control.ChangeResult{}, control.NewError(control.CodeInvalid, "a change needs a change ID", nil)
	}
	kind := "drain"
	if restore {
		kind = "restore"
	}
	return k.change(ctx, kind, req.ChangeID, 0, state.Command{Drain: &state.Drain{
		ChangeID: req.ChangeID,
		Kind:     req.Kind,
		Name:     req.Name,
		Restore:  restore,
		Operator: operatorName(ctx, req.Operator),
		Digest:   digest(kind, string(req.Kind)+"/"+req.Name),
	}})
}

// change proposes an operator's change and tells how it ended.
func (k *Keeper) change(ctx context.Context, kind, id string, base uint64, c state.Command) (control.ChangeResult, error) {
	if _, ok := k.leading(); !ok {
		return control.ChangeResult{}, notLeader(k.leaderAddress())
	}
	r, err := k.propose(ctx, c)
	if err != nil {
		return control.ChangeResult{}, k.translate(err)
	}
	out := *r.Change
	k.logger.Info("operator change", "kind", kind, "change", id, "status", out.Status,
		"object_revision", out.ObjectRevision, "view_revision", out.ViewRevision)
	k.events.OperatorChange(kind, id, out)
	switch out.Status {
	case state.ChangeConflict:
		return control.ChangeResult{}, control.NewError(control.CodeConflict, out.Message, control.Conflict{Base: base, Current: out.ObjectRevision})
	case state.ChangeReused:
		return control.ChangeResult{}, control.NewError(control.CodeInvalid, out.Message, nil)
	case state.ChangeNotFound:
		return control.ChangeResult{}, control.NewError(control.CodeNotFound, out.Message, nil)
	}
	return control.ChangeResult{
		ObjectRevision: out.ObjectRevision,
		ViewRevision:   out.ViewRevision,
		Resent:         out.Status == state.ChangeResent,
	}, nil
}

// read confirms the leadership and gives f the state, so that every change
// accepted before is in it.
func (k *Keeper) read(ctx context.Context, f func(*state.State) error) error {
	if _, err := k.log.ReadIndex(ctx); err != nil {
		return k.translate(err)
	}
	var err error
	k.store.Read(func(s *state.State) { err = f(s) })
	return err
}

// get returns the objects of a revision.
func (k *Keeper) get(ctx context.Context, req control.GetRequest) (control.GetResult, error) {
	var out control.GetResult
	err := k.read(ctx, func(s *state.State) error {
		r, ok := s.Set(req.ObjectRevision)
		if !ok {
			return control.NewError(control.CodeNotFound, "that object revision is not kept", nil)
		}
		out = control.GetResult{ObjectRevision: r.Revision, Text: object.Format(r.Set)}
		return nil
	})
	return out, err
}

// history lists accepted changes.
func (k *Keeper) history(ctx context.Context, _ struct{}) (control.HistoryResult, error) {
	var out control.HistoryResult
	err := k.read(ctx, func(s *state.State) error {
		out.Changes = s.History()
		return nil
	})
	return out, err
}

// wait waits until a view revision is in force on every gate that may take
// new work.
func (k *Keeper) wait(ctx context.Context, req control.WaitRequest) (control.WaitResult, error) {
	wait := min(time.Duration(req.TimeoutMS)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	poll := time.NewTicker(k.timing.ObserveInterval)
	defer poll.Stop()
	for {
		t, ok := k.leading()
		if !ok {
			return control.WaitResult{}, notLeader(k.leaderAddress())
		}
		out := t.inForce(req.ViewRevision)
		if out.InForce {
			return out, nil
		}
		select {
		case <-ctx.Done():
			return out, nil
		case <-poll.C:
		}
	}
}

// inForce tells how far a revision is in force.
func (t *term) inForce(r view.Revision) control.WaitResult {
	current := t.keeper.revision()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.keeper.clock.Now()
	out := control.WaitResult{Barrier: t.barrier(now, current)}
	out.InForce = out.Barrier >= r
	for _, s := range t.leases.Behind(now, r) {
		out.LaggingGates = append(out.LaggingGates, s.Gate)
	}
	return out
}

// quarantines lists suspects and convicted fingerprints.
func (k *Keeper) quarantines(ctx context.Context, _ struct{}) (control.QuarantineListResult, error) {
	var out control.QuarantineListResult
	err := k.read(ctx, func(s *state.State) error {
		out.Quarantines = s.Quarantines()
		return nil
	})
	return out, err
}

// release ends a quarantine.
func (k *Keeper) release(ctx context.Context, req control.QuarantineReleaseRequest) (control.ChangeResult, error) {
	r, err := k.propose(ctx, state.Command{Release: &suspect.Released{Fingerprint: req.Fingerprint}})
	if err != nil {
		return control.ChangeResult{}, k.translate(err)
	}
	k.logger.Info("quarantine released", "fingerprint", req.Fingerprint, "operator", operatorName(ctx, req.Operator))
	return control.ChangeResult{ViewRevision: r.Revision}, nil
}

// digest tells a resend of a change from another change under its ID.
func digest(kind, content string) string {
	return kind + "/" + strconv.FormatUint(xxhash.Sum64String(content), 16)
}
