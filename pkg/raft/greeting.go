package raft

import "slices"

// greeting is the state of a replica that may not take part yet.
type greeting struct {
	open   bool
	agreed map[ID]bool
	ticks  int
}

// startGreeting decides whether others must be asked first. A replica that
// joins on an empty folder has nothing to lose; its votes count only once its
// store is recorded.
func (c *Core) startGreeting() {
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
	c.greeting = greeting{open: true, agreed: map[ID]bool{}}
	c.greetAll()
}

func (c *Core) setActive() {
	c.greeting = greeting{}
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

func (c *Core) tickGreeting() {
	c.greeting.ticks++
	if c.greetingDone(false) {
		c.setActive()
		return
	}
	if c.greeting.ticks%c.cfg.HeartbeatTicks == 0 {
		c.greetAll()
	}
}

func (c *Core) greetAll() {
	for _, m := range c.Membership().Members {
		if m.ID != c.id && !c.greeting.agreed[m.ID] {
			c.greet(m.ID)
		}
	}
}

func (c *Core) greet(to ID) {
	c.send(Message{
		Type:  MessageHello,
		To:    to,
		Index: c.log.last(),
		Round: c.cfg.Nonce,
	})
}

// stepHello answers whether there is evidence against the sender.
func (c *Core) stepHello(m Message) {
	reason := c.refusal(m)
	if reason == RefusalNone {
		c.bindStore(m.From, m.Store)
	}
	c.send(Message{
		Type:   MessageHelloReply,
		To:     m.From,
		Round:  m.Round,
		Reject: reason != RefusalNone,
		Reason: reason,
		Leader: c.role == Leader,
	})
}

func (c *Core) refusal(m Message) Refusal {
	if c.removed(m.From) {
		return RefusalRemoved
	}
	if !c.knownStore(m.From, m.Store) {
		return RefusalStore
	}
	if c.marks[m.From].behind(m.Term, m.Index) {
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

// tellRemoved lets a removed replica end that has not heard of it.
func (c *Core) tellRemoved(to ID) {
	c.send(Message{Type: MessageHelloReply, To: to, Reject: true, Reason: RefusalRemoved})
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
	if !c.greeting.open || m.Round != c.cfg.Nonce {
		return
	}
	if m.Reject {
		c.refused = m.Reason
		return
	}
	c.bindStore(m.From, m.Store)
	c.greeting.agreed[m.From] = true
	if c.greetingDone(m.Leader) {
		c.setActive()
	}
}

// greetingDone: on its first start a replica needs every other member. Later
// it needs a leader, or all, or a majority with itself counted once the others
// had an election timeout to object.
func (c *Core) greetingDone(leader bool) bool {
	ms := c.Membership()
	n := 0
	for _, id := range ms.Voters() {
		if id == c.id || c.greeting.agreed[id] {
			n++
		}
	}
	all := n > 0 && n == len(ms.Voters())
	if !c.active {
		return all
	}
	waited := c.greeting.ticks >= c.cfg.ElectionTicks
	return leader || all || waited && n > 1 && n >= ms.Quorum()
}
