package consensus

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
)

const (
	faultRepeats  = 3
	recoveryPause = 1200 * time.Millisecond
)

// repeat injects a fault several times, with time to recover after each.
func repeat(inject func(w *world) error) plan {
	return func(w *world) error {
		for range faultRepeats {
			if err := inject(w); err != nil {
				return err
			}
			time.Sleep(recoveryPause)
		}
		return nil
	}
}

// killLeader kills the leader at a step of a commit.
func killLeader(s killStep) plan {
	return repeat(func(w *world) error {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		leader.armKill(s, func() {})
		return nil
	})
}

// killFollower kills a random follower at a step of a commit.
func killFollower(s killStep) plan {
	return repeat(func(w *world) error {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		followers := w.followers(leader)
		followers[w.intN(len(followers))].armKill(s, func() {})
		return nil
	})
}

// losePower kills all replicas when the leader reaches a step of a commit.
func losePower(s killStep) plan {
	return repeat(func(w *world) error {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		others := w.followers(leader)
		leader.armKill(s, func() {
			for _, p := range others {
				_, _, alive := p.instance()
				alive.Store(false)
				go p.kill()
			}
		})
		return nil
	})
}

// failSyncs makes the syncs of all replicas fail and then kills all of them.
func failSyncs(w *world) error {
	for _, p := range w.all() {
		p.failLog(disk.OpSync, disk.FailSync)
	}
	time.Sleep(recoveryPause / 2)
	for _, p := range w.all() {
		if p.up() {
			p.kill()
		}
	}
	return nil
}

// fillLeaderDisk fills the leader's disk. The leader must stop and the others must
// elect another.
func fillLeaderDisk(w *world) error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	leader.setHeld(true)
	leader.failLog(disk.OpWrite, disk.Full)
	time.Sleep(recoveryPause)
	if leader.up() {
		return eris.Errorf("replica %d still runs although its disk is full", leader.id)
	}
	if _, err := w.leader(); err != nil {
		return err
	}
	leader.setHeld(false)
	return nil
}

// killLeaderAndFollower kills the leader and a follower during the same commit.
func killLeaderAndFollower(w *world) error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	leader.armKill(afterWrite, func() {})
	w.followers(leader)[0].armKill(beforeSync, func() {})
	return nil
}
