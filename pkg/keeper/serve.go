package keeper

import (
	"context"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/suspect"
)

// Register puts the keeper's methods on a server.
func (k *Keeper) Register(s *rpc.Server) {
	handle(s, control.MethodRaft, k.stepRaft)
	handle(s, control.MethodGateSync, k.sync)
	handle(s, control.MethodOnceIntent, k.intend)
	handle(s, control.MethodOnceOutcome, k.conclude)
	handle(s, control.MethodCrashReport, k.crash)
	handle(s, control.MethodRanWell, k.ranWell)
	handle(s, control.MethodApply, k.apply)
	handle(s, control.MethodCheck, k.check)
	handle(s, control.MethodGet, k.get)
	handle(s, control.MethodHistory, k.history)
	handle(s, control.MethodRollback, k.rollback)
	handle(s, control.MethodDrain, k.drain)
	handle(s, control.MethodRestore, k.restore)
	handle(s, control.MethodStatus, k.status)
	handle(s, control.MethodWait, k.wait)
	handle(s, control.MethodKeeperReplace, k.replaceKeeper)
	handle(s, control.MethodKeeperStatus, k.keeperStatus)
	handle(s, control.MethodQuarantineList, k.quarantines)
	handle(s, control.MethodQuarantineRelease, k.release)
}

func handle[P, R any](s *rpc.Server, m control.Method, h func(context.Context, P) (R, error)) {
	rpc.Handle(s, string(m), h)
}

func (k *Keeper) stepRaft(_ context.Context, m raft.Message) (struct{}, error) {
	k.log.Step(m)
	return struct{}{}, nil
}

func (k *Keeper) check(ctx context.Context, req control.ApplyRequest) (control.ChangeResult, error) {
	req.CheckOnly = true
	return k.apply(ctx, req)
}

// intend records a once-only request; the decision is synced by a quorum.
func (k *Keeper) intend(ctx context.Context, in once.Intent) (once.Decision, error) {
	r, err := k.propose(ctx, state.Command{Intend: &in})
	if err != nil {
		return once.Decision{}, k.translate(err)
	}
	return *r.Decision, nil
}

// conclude records how a once-only request ended.
func (k *Keeper) conclude(ctx context.Context, c once.Conclusion) (once.Result, error) {
	r, err := k.propose(ctx, state.Command{Conclude: &c})
	if err != nil {
		return once.Result{}, k.translate(err)
	}
	return *r.Settled, nil
}

// crash notes which requests ran on an upstream when it crashed.
func (k *Keeper) crash(ctx context.Context, c suspect.CrashReported) (struct{}, error) {
	_, err := k.propose(ctx, state.Command{Crash: &c})
	return struct{}{}, k.translate(err)
}

// ranWell notes that a suspect ran alone without a crash.
func (k *Keeper) ranWell(ctx context.Context, c suspect.SuspectCleared) (struct{}, error) {
	_, err := k.propose(ctx, state.Command{RanWell: &c})
	return struct{}{}, k.translate(err)
}
