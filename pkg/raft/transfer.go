package raft

// TransferLeadership starts the transfer of leadership to a voter. The transfer ends
// with the term, or is abandoned after an election timeout.
func (c *Core) TransferLeadership(to ID) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.transferTo != 0 {
		return ErrTransferring
	}
	if !c.Membership().IsVoter(to) {
		return ErrNotMember
	}
	if to == c.id {
		return nil
	}
	c.transferTo = to
	c.transferLeft = c.cfg.ElectionTicks
	c.continueTransfer(to, c.progress[to])
	return nil
}

// continueTransfer makes the target campaign once it holds the whole log.
func (c *Core) continueTransfer(id ID, p *progress) {
	if c.role != Leader || id != c.transferTo {
		return
	}
	if p.match == c.log.last() {
		c.sendBeforeSync(Message{Type: MessageTimeoutNow, To: id})
		return
	}
	c.sendAppend(id, p)
}

func (c *Core) tickTransfer() {
	if c.transferTo == 0 {
		return
	}
	c.transferLeft--
	if c.transferLeft <= 0 {
		c.transferTo = 0
	}
}
