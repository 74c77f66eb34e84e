package raft

import "slices"

type read struct {
	token uint64
	index uint64
	round uint64
}

// readQueue holds reads that wait for a round to start, and those whose round
// runs. A round starts only when the one before has ended, so that reads
// share rounds.
type readQueue struct {
	waiting []read
	running []read
}

func (q *readQueue) clear() []read {
	all := append(q.running, q.waiting...)
	q.running = nil
	q.waiting = nil
	return all
}

// ReadIndex asks for an index that a linearizable read must have applied. The
// answer comes as a Read in Ready, after a round of heartbeats that begins
// after this call.
func (c *Core) ReadIndex(token uint64) {
	if c.role != Leader || c.transferTo != 0 {
		c.readsDone = append(c.readsDone, ReadState{Token: token})
		return
	}
	if c.cfg.Unsafe.ReadsWithoutRound {
		c.readsDone = append(c.readsDone, ReadState{Token: token, Index: c.log.committed, OK: true})
		return
	}
	c.reads.waiting = append(c.reads.waiting, read{token: token})
	c.startReads()
}

// startReads starts a round for the waiting reads. Before an entry of this
// term is committed the commit index may be older than the former leader's.
func (c *Core) startReads() {
	if c.role != Leader || c.log.committed < c.termStart {
		return
	}
	if len(c.reads.running) > 0 || len(c.reads.waiting) == 0 {
		return
	}
	c.round++
	c.reads.running = c.reads.waiting
	c.reads.waiting = nil
	for i := range c.reads.running {
		c.reads.running[i].index = c.log.committed
		c.reads.running[i].round = c.round
	}
	c.sendHeartbeats()
	c.confirmReads()
}

// confirmReads releases the reads whose round a majority has answered.
func (c *Core) confirmReads() {
	if len(c.reads.running) == 0 || c.confirmedRound() < c.round {
		return
	}
	for _, r := range c.reads.running {
		c.readsDone = append(c.readsDone, ReadState{Token: r.token, Index: r.index, OK: true})
	}
	c.reads.running = nil
	c.startReads()
}

// confirmedRound returns the highest round that a majority has answered.
func (c *Core) confirmedRound() uint64 {
	ms := c.Membership()
	rounds := make([]uint64, 0, len(ms.Members))
	for _, id := range ms.Voters() {
		if id == c.id {
			rounds = append(rounds, c.round)
			continue
		}
		rounds = append(rounds, c.progress[id].round)
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-ms.Quorum()]
}
