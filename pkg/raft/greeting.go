package raft

import "slices"

// handshake is the state of a replica that may not take part yet.
type handshake struct {
	pending  bool
	accepted map[ID]bool
	ticks    int
}

// startHandshake decides whether others must be asked first. A replica that
// joins on an empty folder has nothing to lose; its votes count only once its
// store is recorded.
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
		// The others greeted without a leader: nobody is there to be
		// disturbed, and a pre-vote finds out if one is.
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

// stepHello answers whether there is evidence against the sender.
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

// removed tells whether a replica is out for good: its ID was used, and the
// committed membership lacks it.
func (c *Core) removed(id ID) bool {
	ms := c.members.at(c.log.committed)
	_, member := ms.Member(id)
	return !member && id <= ms.HighestID
}

// sendRemoved lets a removed replica end that has not heard of it.
func (c *Core) sendRemoved(to ID) {
	c.sendAfterSync(Message{Type: MessageHelloReply, To: to, Reject: true, Reason: RefusalRemoved})
}

// bindStore records the store of an initial member when it is first seen.
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
	// Once it takes part, a repeated hello may be behind newer promises.
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

// greetingDone: on its first start a replica needs every other member. Later
// it needs a leader, or all, or a majority with itself counted once the others
// had an election timeout to object.
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
