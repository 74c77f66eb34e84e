package consensus

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

const replaceLimit = 30 * time.Second

// replace replaces a replica by a new one as an operator does: it adds, promotes and
// removes, and repeats each request until the membership shows its effect.
func (w *world) replace(old *process, id raft.ID) error {
	fresh := w.process(id)
	if fresh == nil {
		fresh = w.addProcess(id, true)
	}
	var last error
	for begin := time.Now(); time.Since(begin) < replaceLimit; {
		done, err := w.replaceStep(old.id, fresh.id)
		if done {
			return nil
		}
		last = err
		time.Sleep(50 * time.Millisecond)
	}
	return eris.Errorf("replica %d was not replaced: %v", old.id, last)
}

func (w *world) replaceStep(old, fresh raft.ID) (bool, error) {
	leader, err := w.leader()
	if err != nil {
		return false, err
	}
	node, _, _ := leader.instance()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	st, err := node.Status(ctx)
	if err != nil {
		return false, err
	}
	m, there := st.Membership.Member(fresh)
	_, oldThere := st.Membership.Member(old)
	switch {
	case !there:
		return false, node.AddLearner(ctx, fresh, "mem")
	case m.Learner:
		return false, node.Promote(ctx, fresh)
	case oldThere:
		return false, node.Remove(ctx, old)
	}
	return true, nil
}

// replaceDuring replaces a follower while a fault is injected, and then checks that
// the removed replica does not run on.
func replaceDuring(fault plan) plan {
	return func(w *world) error {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		old := w.followers(leader)[0]
		faultErr := make(chan error, 1)
		go func() { faultErr <- fault(w) }()
		err = w.replace(old, raft.ID(w.opts.replicas)+1)
		if err := errors.Join(err, <-faultErr); err != nil {
			return err
		}
		w.net.Heal()
		w.net.SetConditions(defaultConditions())
		return w.checkRemovedStops(old)
	}
}

// checkRemovedStops checks that a removed replica stops by itself.
func (w *world) checkRemovedStops(old *process) error {
	time.Sleep(catchUpTime)
	var refused *replica.RefusedError
	if !errors.As(old.err(), &refused) || refused.Reason != raft.RefusalRemoved {
		return eris.Errorf("removed replica %d was not refused as removed: %v", old.id, old.err())
	}
	return nil
}
