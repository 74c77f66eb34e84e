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

// maxOperatorWait limits one wait call of an operator; the client repeats the call after it.
const maxOperatorWait = 10 * time.Second

// apply checks a set of objects and publishes all of it or none.
func (k *Keeper) apply(ctx context.Context, req control.ApplyRequest) (control.ChangeResult, error) {
	set, problems := object.Load(req.File, []byte(req.Text))
	if len(problems) > 0 {
		return control.ChangeResult{Problems: problems}, nil
	}
	if req.CheckOnly {
		return control.ChangeResult{}, nil
	}
	if req.ChangeID == "" {
		return control.ChangeResult{}, control.NewError(control.CodeInvalid, "change ID is missing", nil)
	}
	return k.proposeChange(ctx, "apply", req.ChangeID, req.BaseRevision, state.Command{Publish: &state.Publish{
		ChangeID:     req.ChangeID,
		BaseRevision: req.BaseRevision,
		Operator:     operatorName(ctx, req.Operator),
		Set:          set,
		Digest:       changeDigest("apply", object.Format(set)),
	}})
}

// rollback publishes the objects of an earlier revision as a new revision.
func (k *Keeper) rollback(ctx context.Context, req control.RollbackRequest) (control.ChangeResult, error) {
	if req.ChangeID == "" {
		return control.ChangeResult{}, control.NewError(control.CodeInvalid, "change ID is missing", nil)
	}
	return k.proposeChange(ctx, "rollback", req.ChangeID, req.BaseRevision, state.Command{Rollback: &state.Rollback{
		ChangeID:     req.ChangeID,
		BaseRevision: req.BaseRevision,
		To:           req.To,
		Operator:     operatorName(ctx, req.Operator),
		Digest:       changeDigest("rollback", strconv.FormatUint(req.To, 10)),
	}})
}

// drain takes a failure domain or upstream out of service.
func (k *Keeper) drain(ctx context.Context, req control.DrainRequest) (control.ChangeResult, error) {
	return k.setDrain(ctx, req, false)
}

// restore ends a drain.
func (k *Keeper) restore(ctx context.Context, req control.DrainRequest) (control.ChangeResult, error) {
	return k.setDrain(ctx, req, true)
}

func (k *Keeper) setDrain(ctx context.Context, req control.DrainRequest, restore bool) (control.ChangeResult, error) {
	if req.ChangeID == "" {
		return control.ChangeResult{}, control.NewError(control.CodeInvalid, "change ID is missing", nil)
	}
	kind := "drain"
	if restore {
		kind = "restore"
	}
	return k.proposeChange(ctx, kind, req.ChangeID, 0, state.Command{Drain: &state.Drain{
		ChangeID: req.ChangeID,
		Kind:     req.Kind,
		Name:     req.Name,
		Restore:  restore,
		Operator: operatorName(ctx, req.Operator),
		Digest:   changeDigest(kind, string(req.Kind)+"/"+req.Name),
	}})
}

// proposeChange proposes an operator's change and returns its result.
func (k *Keeper) proposeChange(ctx context.Context, kind, id string, base uint64, c state.Command) (control.ChangeResult, error) {
	if _, ok := k.leadingTerm(); !ok {
		return control.ChangeResult{}, notLeaderError(k.leaderAddress())
	}
	r, err := k.propose(ctx, c)
	if err != nil {
		return control.ChangeResult{}, k.toRPCError(err)
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

// readState confirms the leadership, then calls f with the state, which contains every change
// accepted before the call.
func (k *Keeper) readState(ctx context.Context, f func(*state.State) error) error {
	if _, err := k.log.ReadIndex(ctx); err != nil {
		return k.toRPCError(err)
	}
	var err error
	k.store.Read(func(s *state.State) { err = f(s) })
	return err
}

// get returns the objects of a revision.
func (k *Keeper) get(ctx context.Context, req control.GetRequest) (control.GetResult, error) {
	var out control.GetResult
	err := k.readState(ctx, func(s *state.State) error {
		r, ok := s.Set(req.ObjectRevision)
		if !ok {
			return control.NewError(control.CodeNotFound, "object revision is not in the history", nil)
		}
		out = control.GetResult{ObjectRevision: r.Revision, Text: object.Format(r.Set)}
		return nil
	})
	return out, err
}

// history lists accepted changes.
func (k *Keeper) history(ctx context.Context, _ struct{}) (control.HistoryResult, error) {
	var out control.HistoryResult
	err := k.readState(ctx, func(s *state.State) error {
		out.Changes = s.History()
		return nil
	})
	return out, err
}

// wait waits until a view revision is in force on every gate that may take new work.
func (k *Keeper) wait(ctx context.Context, req control.WaitRequest) (control.WaitResult, error) {
	wait := min(time.Duration(req.TimeoutMS)*time.Millisecond, maxOperatorWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	poll := time.NewTicker(k.timing.ObserveInterval)
	defer poll.Stop()
	for {
		t, ok := k.leadingTerm()
		if !ok {
			return control.WaitResult{}, notLeaderError(k.leaderAddress())
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

// inForce reports whether a revision is in force, and which gates lag behind it.
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

// listQuarantines lists suspected and convicted fingerprints.
func (k *Keeper) listQuarantines(ctx context.Context, _ struct{}) (control.QuarantineListResult, error) {
	var out control.QuarantineListResult
	err := k.readState(ctx, func(s *state.State) error {
		out.Quarantines = s.Quarantines()
		return nil
	})
	return out, err
}

// releaseQuarantine ends a quarantine before it expires.
func (k *Keeper) releaseQuarantine(ctx context.Context, req control.QuarantineReleaseRequest) (control.ChangeResult, error) {
	r, err := k.propose(ctx, state.Command{Release: &suspect.Released{Fingerprint: req.Fingerprint}})
	if err != nil {
		return control.ChangeResult{}, k.toRPCError(err)
	}
	k.logger.Info("quarantine released", "fingerprint", req.Fingerprint, "operator", operatorName(ctx, req.Operator))
	return control.ChangeResult{ViewRevision: r.Revision}, nil
}

// changeDigest returns a digest of a change's content. It distinguishes a retry from a different
// change under the same change ID.
func changeDigest(kind, content string) string {
	return kind + "/" + strconv.FormatUint(xxhash.Sum64String(content), 16)
}
