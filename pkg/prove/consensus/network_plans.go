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

// partitionLeader cuts links around the leader and checks that a replica still commits.
func partitionLeader(cut func(w *world, leader *process)) plan {
	return func(w *world) error {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		cut(w, leader)
		time.Sleep(partitionTime)
		return eris.Wrap(w.awaitCommit(), "during the partition")
	}
}

// awaitCommit waits until some replica commits a command. The command changes no
// register.
func (w *world) awaitCommit() error {
	data, err := json.Marshal(command{Key: registerCount, Old: -1})
	if err != nil {
		return err
	}
	for begin := time.Now(); time.Since(begin) < electionLimit; time.Sleep(20 * time.Millisecond) {
		for _, p := range w.all() {
			if p.up() && w.proposeAt(p, data) {
				return nil
			}
		}
	}
	return eris.New("no replica commits")
}

func (w *world) proposeAt(p *process, data []byte) bool {
	node, _, _ := p.instance()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := node.Propose(ctx, data)
	return err == nil
}

func isolateLeader(w *world, leader *process) {
	w.isolate(leader)
}

func dropToLeader(w *world, leader *process) {
	for _, id := range w.ids() {
		w.net.Cut(id, leader.id)
	}
}

func dropFromLeader(w *world, leader *process) {
	for _, id := range w.ids() {
		w.net.Cut(leader.id, id)
	}
}

// cutOneLink cuts the link between the leader and one follower. A third replica still
// reaches both.
func cutOneLink(w *world, leader *process) {
	w.net.Isolate(leader.id, w.followers(leader)[0].id)
}

// splitLeaderSide separates the leader and one follower from the other replicas.
func splitLeaderSide(w *world, leader *process) {
	fs := w.followers(leader)
	for _, far := range fs[1:] {
		w.net.Isolate(far.id, leader.id, fs[0].id)
	}
}

// pauseLeader suspends the leader's process for longer than an election takes.
func pauseLeader(w *world) error {
	for range faultRepeats {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		leader.pause(recoveryPause * 2)
		time.Sleep(recoveryPause * 3)
	}
	return nil
}

// rejoinAfterLongPartition isolates a follower for a minute. Its return must not
// depose the leader.
func rejoinAfterLongPartition(w *world) error {
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
		return eris.Errorf("the follower's return raised the term from %d to %d", before, after)
	}
	return nil
}

func (w *world) termOf(p *process) (uint64, error) {
	node, _, _ := p.instance()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	st, err := node.Status(ctx)
	return st.Term, err
}

// degradeNetwork makes the network drop, duplicate and reorder messages.
func degradeNetwork(w *world) error {
	w.net.SetConditions(memnet.Conditions{
		MinDelay:  time.Millisecond,
		MaxDelay:  60 * time.Millisecond,
		Loss:      0.05,
		Duplicate: 0.2,
	})
	time.Sleep(2 * partitionTime)
	return nil
}

// transferRepeatedly transfers leadership to a random follower several times.
func transferRepeatedly(w *world) error {
	for range faultRepeats {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		to := w.followers(leader)[w.intN(2)]
		if err := w.transfer(leader, to.id); err != nil {
			return err
		}
		time.Sleep(recoveryPause / 4)
	}
	return nil
}

func (w *world) transfer(from *process, to raft.ID) error {
	node, _, _ := from.instance()
	ctx, cancel := context.WithTimeout(context.Background(), electionLimit)
	defer cancel()
	return node.TransferLeadership(ctx, to)
}
