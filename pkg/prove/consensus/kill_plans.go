package consensus

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
)

const (
	strikes     = 3
	strikePause = 1200 * time.Millisecond
)

// repeat strikes several times with time to recover.
func repeat(strike func(w *world) error) plan {
	return func(w *world) error {
		for range strikes {
			if err := strike(w); err != nil {
				return err
			}
			time.Sleep(strikePause)
		}
		return nil
	}
}

// killLeader lets the leader die at a step of a commit.
func killLeader(s killStep) plan {
	return repeat(func(w *world) error {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		leader.arm(s, func() {})
		return nil
	})
}

// killFollower lets a follower die at a step of a commit.
func killFollower(s killStep) plan {
	return repeat(func(w *world) error {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		followers := w.followers(leader)
		followers[w.intN(len(followers))].arm(s, func() {})
		return nil
	})
}

// losePower lets all replicas die when the leader reaches a step.
func losePower(s killStep) plan {
	return repeat(func(w *world) error {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		others := w.followers(leader)
		leader.arm(s, func() {
			for _, p := range others {
				_, _, alive := p.instance()
				alive.Store(false)
				go p.kill()
			}
		})
		return nil
	})
}

// failSyncs lets the syncs of all replicas fail, and then all power.
func failSyncs(w *world) error {
	for _, p := range w.all() {
		p.failLog(disk.OpSync, disk.FailSync)
	}
	time.Sleep(strikePause / 2)
	for _, p := range w.all() {
		if p.up() {
			p.kill()
		}
	}
	return nil
}

// fillLeader fills the leader's disk; the others go on.
func fillLeader(w *world) error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	leader.hold(true)
	leader.failLog(disk.OpWrite, disk.Full)
	time.Sleep(strikePause)
	if leader.up() {
		return eris.Errorf("replica %d runs on a full disk", leader.id)
	}
	if _, err := w.leader(); err != nil {
		return err
	}
	leader.hold(false)
	return nil
}

// killTwo kills the leader and a follower together.
func killTwo(w *world) error {
	leader, err := w.leader()
	if err != nil {
		return err
	}
	leader.arm(afterWrite, func() {})
	w.followers(leader)[0].arm(beforeSync, func() {})
	return nil
}
