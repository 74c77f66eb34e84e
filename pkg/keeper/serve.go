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

// Register registers the keeper's methods with a server.
func (k *Keeper) Register(s *rpc.Server) {
	handle(s, control.MethodRaft, k.stepRaft)
	handle(s, control.MethodGateSync, k.sync)
	handle(s, control.MethodOnceIntent, k.recordIntent)
	handle(s, control.MethodOnceOutcome, k.recordConclusion)
	handle(s, control.MethodCrashReport, k.reportCrash)
	handle(s, control.MethodRanWell, k.reportCleanRun)
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
	handle(s, control.MethodQuarantineList, k.listQuarantines)
	handle(s, control.MethodQuarantineRelease, k.releaseQuarantine)
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

// recordIntent records a once-only request before it runs. The decision is on the disks of a
// quorum when it returns.
func (k *Keeper) recordIntent(ctx context.Context, in once.Intent) (once.Decision, error) {
	r, err := k.propose(ctx, state.Command{Intend: &in})
	if err != nil {
		return once.Decision{}, k.toRPCError(err)
	}
	return *r.Decision, nil
}

// recordConclusion records the outcome of a once-only request.
func (k *Keeper) recordConclusion(ctx context.Context, c once.Conclusion) (once.Result, error) {
	r, err := k.propose(ctx, state.Command{Conclude: &c})
	if err != nil {
		return once.Result{}, k.toRPCError(err)
	}
	return *r.Settled, nil
}

// reportCrash records which requests ran on an upstream when it crashed.
func (k *Keeper) reportCrash(ctx context.Context, c suspect.CrashReported) (struct{}, error) {
	_, err := k.propose(ctx, state.Command{Crash: &c})
	return struct{}{}, k.toRPCError(err)
}

// reportCleanRun records that a suspect ran alone without a crash.
func (k *Keeper) reportCleanRun(ctx context.Context, c suspect.SuspectCleared) (struct{}, error) {
	_, err := k.propose(ctx, state.Command{RanWell: &c})
	return struct{}{}, k.toRPCError(err)
}
