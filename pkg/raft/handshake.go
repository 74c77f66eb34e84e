package raft

import "slices"

// handshake is the state of a replica that may not take part yet.
type handshake struct {
	pending  bool
	accepted map[ID]bool
	ticks    int
}

// startHandshake starts the handshake, unless the replica is the only voter or joins
// with an empty directory. A joining replica has no state to lose, and its votes
// count only once its store is recorded.
func (c *Core) startHandshake() {
	if c.cfg.Unsafe.NoIdentityCheck {
		c.active = true
		return
	}
	ms := c.Membership()
	joined := len(c.cfg.Identity.Initial) == 0
	fresh := c.cfg.Incarnation == 1
	alone := slices.Equal(ms.Voters(), []ID{c.id})
	if alone || joined && fresh {
		c.setActive()
		return
	}
	c.handshake = handshake{pending: true, accepted: map[ID]bool{}}
	c.sendHellos()
}

func (c *Core) setActive() {
	c.handshake = handshake{}
	if !c.active {
		c.active = true
		c.identityChanged = true
	}
	c.resetElection()
	if c.leader == 0 {
		// The others completed the handshake without a leader: an election
		// disturbs nobody, and the pre-vote detects a leader that does exist.
		c.resetCampaign()
	}
}

func (c *Core) tickHandshake() {
	c.handshake.ticks++
	if c.handshakeDone(false) {
		c.setActive()
		return
	}
	if c.handshake.ticks%c.cfg.HeartbeatTicks == 0 {
		c.sendHellos()
	}
}

func (c *Core) sendHellos() {
	for _, m := range c.Membership().Members {
		if m.ID != c.id && !c.handshake.accepted[m.ID] {
			c.sendHello(m.ID)
		}
	}
}

func (c *Core) sendHello(to ID) {
	c.sendAfterSync(Message{
		Type:  MessageHello,
		To:    to,
		Index: c.log.last(),
		Round: c.cfg.Nonce,
	})
}

// stepHello replies whether there is evidence against the sender.
func (c *Core) stepHello(m Message) {
	reason := c.refusalFor(m)
	if reason == RefusalNone {
		c.bindStore(m.From, m.Store)
	}
	c.sendAfterSync(Message{
		Type:   MessageHelloReply,
		To:     m.From,
		Round:  m.Round,
		Reject: reason != RefusalNone,
		Reason: reason,
		Leader: c.role == Leader,
	})
}

func (c *Core) refusalFor(m Message) Refusal {
	if c.removed(m.From) {
		return RefusalRemoved
	}
	if !c.knownStore(m.From, m.Store) {
		return RefusalStore
	}
	if c.watermarks[m.From].behind(m.Term, m.Index) {
		return RefusalRolledBack
	}
	return RefusalNone
}

// removed reports whether a replica was removed permanently: its ID was used, and it
// is not in the committed membership.
func (c *Core) removed(id ID) bool {
	return c.members.at(c.log.committed).Removed(id)
}

// sendRemoved informs a replica that it was removed, so that it stops.
func (c *Core) sendRemoved(to ID) {
	c.sendAfterSync(Message{Type: MessageHelloReply, To: to, Reject: true, Reason: RefusalRemoved})
}

// bindStore records the store of an initial member on its first message.
func (c *Core) bindStore(id ID, store uint64) {
	if _, ok := c.Membership().Member(id); !ok || c.storeOf(id) != 0 {
		return
	}
	c.stores[id] = store
	c.identityChanged = true
}

func (c *Core) stepHelloReply(m Message) {
	if m.Reject && m.Reason == RefusalRemoved {
		c.refused = m.Reason
		return
	}
	// After the handshake, a rejection may answer a duplicated hello that is behind
	// what the replica has acknowledged since.
	if !c.handshake.pending || m.Round != c.cfg.Nonce {
		return
	}
	if m.Reject {
		c.refused = m.Reason
		return
	}
	c.bindStore(m.From, m.Store)
	c.handshake.accepted[m.From] = true
	if c.handshakeDone(m.Leader) {
		c.setActive()
	}
}

// handshakeDone reports whether the replica may take part. On its first start it
// needs every other voter. Later it needs a leader, or all voters, or, after an
// election timeout in which the others could object, a majority including itself.
func (c *Core) handshakeDone(leader bool) bool {
	ms := c.Membership()
	n := 0
	for _, id := range ms.Voters() {
		if id == c.id || c.handshake.accepted[id] {
			n++
		}
	}
	all := n > 0 && n == len(ms.Voters())
	if !c.active {
		return all
	}
	waited := c.handshake.ticks >= c.cfg.ElectionTicks
	return leader || all || waited && n > 1 && n >= ms.Quorum()
}
