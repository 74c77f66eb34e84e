package consensus

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica/memnet"
)

const partitionTime = 4 * time.Second

// partitionLeader cuts links around the leader; the others must go on.
func partitionLeader(cut func(w *world, leader *process)) plan {
	return func(w *world) error {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		cut(w, leader)
		time.Sleep(partitionTime)
		return eris.Wrap(w.commits(), "during the partition")
	}
}

// commits tells whether some replica still commits. The command changes
// nothing.
func (w *world) commits() error {
	data, err := json.Marshal(command{Key: registerCount, Old: -1})
	if err != nil {
		return err
	}
	for begin := time.Now(); time.Since(begin) < electionLimit; time.Sleep(20 * time.Millisecond) {
		for _, p := range w.all() {
			if p.up() && w.commitsAt(p, data) {
				return nil
			}
		}
	}
	return eris.New("nothing is committed")
}

func (w *world) commitsAt(p *process, data []byte) bool {
	node, _, _ := p.instance()
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	_, err := node.Propose(ctx, data)
	return err == nil
}

func cutOff(w *world, leader *process) {
	w.isolate(leader)
}

func deafen(w *world, leader *process) {
	for _, id := range w.ids() {
		w.net.Cut(id, leader.id)
	}
}

func mute(w *world, leader *process) {
	for _, id := range w.ids() {
		w.net.Cut(leader.id, id)
	}
}

// cutOneLink leaves both ends joined by a third replica.
func cutOneLink(w *world, leader *process) {
	w.net.Isolate(leader.id, w.followers(leader)[0].id)
}

// splitLeaderSide leaves the leader with one follower of four.
func splitLeaderSide(w *world, leader *process) {
	fs := w.followers(leader)
	for _, far := range fs[1:] {
		w.net.Isolate(far.id, leader.id, fs[0].id)
	}
}

// pauseLeader stops the leader's process for longer than an election.
func pauseLeader(w *world) error {
	for range strikes {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		leader.pause(strikePause * 2)
		time.Sleep(strikePause * 3)
	}
	return nil
}

// returnAfterLong cuts a follower off for long. Its return must not disturb
// the leader.
func returnAfterLong(w *world) error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	follower := w.followers(leader)[0]
	w.isolate(follower)
	time.Sleep(time.Minute)
	before, err := w.termOf(leader)
	if err != nil {
		return err
	}
	w.net.Heal()
	time.Sleep(catchUpTime)
	after, err := w.termOf(leader)
	if err != nil {
		return err
	}
	if before != after {
		return eris.Errorf("the return raised the term from %d to %d", before, after)
	}
	return nil
}

func (w *world) termOf(p *process) (uint64, error) {
	node, _, _ := p.instance()
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	st, err := node.Status(ctx)
	return st.Term, err
}

// disturb lets the network lose, repeat and reorder.
func disturb(w *world) error {
	w.net.SetConditions(memnet.Conditions{
		MinDelay:  time.Millisecond,
		MaxDelay:  60 * time.Millisecond,
		Loss:      0.05,
		Duplicate: 0.2,
	})
	time.Sleep(2 * partitionTime)
	return nil
}

// transferAround hands leadership on while the network disturbs.
func transferAround(w *world) error {
	for range strikes {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		to := w.followers(leader)[w.intN(2)]
		if err := w.transfer(leader, to.id); err != nil {
			return err
		}
		time.Sleep(strikePause / 4)
	}
	return nil
}

func (w *world) transfer(from *process, to raft.ID) error {
	node, _, _ := from.instance()
	ctx, cancel := context.WithTimeout(context.Background(), electionLimit)
	defer cancel()
	return node.TransferLeadership(ctx, to)
}
