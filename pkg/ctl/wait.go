package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// serverWaitTime is how long a server may hold one wait request before it answers.
const serverWaitTime = 2 * time.Second

// waitFlags are the flags of commands that can wait for their change.
type waitFlags struct {
	Wait        bool          `help:"Wait until the change is in force on every gate that may take work."`
	WaitTimeout time.Duration `default:"60s" help:"Timeout of the wait."`
}

// waitCommand waits until a view revision is in force.
type waitCommand struct {
	Revision    uint64        `arg:"" optional:"" help:"View revision; the latest one if not given."`
	WaitTimeout time.Duration `default:"60s" help:"Timeout of the wait."`
}

// Help implements kong.HelpProvider.
func (*waitCommand) Help() string {
	return `A gate that does not receive the revision takes no new work once its lease has lapsed,
and the command then no longer waits for it.

Examples:
  sesamectl wait
  sesamectl wait 17 --wait-timeout 10s`
}

// Run implements the command.
func (c *waitCommand) Run(s *session) error {
	revision := view.Revision(c.Revision)
	if revision == 0 {
		status, err := s.status()
		if err != nil {
			return err
		}
		revision = status.ViewRevision
	}
	if err := s.waitFor(revision, c.WaitTimeout); err != nil {
		return err
	}
	return s.print(control.WaitResult{InForce: true, Barrier: revision}, func(w io.Writer) {
		printLine(w, "view revision %d is in force everywhere", revision)
	})
}

// waitFor repeats wait requests until the revision is in force, and prints progress.
func (s *session) waitFor(revision view.Revision, timeout time.Duration) error {
	if err := s.connect(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	lastProgress := ""
	for {
		var result control.WaitResult
		r := request{method: control.MethodWait, params: control.WaitRequest{ViewRevision: revision, TimeoutMS: serverWaitTime.Milliseconds()}}
		err := s.client.call(ctx, r, &result)
		if err == nil && result.InForce {
			return nil
		}
		if err != nil && exitCode(err) != ExitUnavailable {
			return err
		}
		if text := describeWait(revision, result); err == nil && text != lastProgress {
			s.progress("%s", text)
			lastProgress = text
		}
		if err != nil || !waitForRetry(ctx, retryInterval) {
			return waitTimeoutFailure(revision, timeout, result)
		}
	}
}

func describeWait(revision view.Revision, r control.WaitResult) string {
	return fmt.Sprintf("waiting for view revision %d: in force everywhere up to %d, behind: %s", revision, r.Barrier, orDash(joinNames(r.LaggingGates)))
}

func joinNames(names []view.GateName) string {
	words := make([]string, len(names))
	for i, n := range names {
		words[i] = string(n)
	}
	return strings.Join(words, " ")
}

func waitTimeoutFailure(revision view.Revision, timeout time.Duration, r control.WaitResult) *Failure {
	return &Failure{
		Code:    ExitTimedOut,
		Message: fmt.Sprintf("view revision %d was accepted, but is not confirmed to be in force everywhere after %s; behind: %s", revision, timeout, orDash(joinNames(r.LaggingGates))),
		Hint:    fmt.Sprintf("it stays accepted; %s wait %d continues to wait, %s status shows each gate's lease", programName, revision, programName),
	}
}
