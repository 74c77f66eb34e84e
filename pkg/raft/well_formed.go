package raft

// maxSnapshotBytes limits the size of a snapshot that a follower assembles.
const maxSnapshotBytes = 1 << 30

// isWellFormed reports whether a core could have sent the message. Other messages are
// dropped, since they come from a damaged or foreign sender.
func (m *Message) isWellFormed() bool {
	if m.Type == MessageSnapshot {
		return m.Chunk.isWellFormed()
	}
	prev, term := m.Index, m.LogTerm
	for _, e := range m.Entries {
		if e.Index != prev+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		if e.Type == EntryMembership {
			ms, err := decodeMembership(e.Data)
			if err != nil || len(ms.Voters()) == 0 {
				return false
			}
		}
		prev, term = e.Index, e.Term
	}
	return true
}

func (ch *Chunk) isWellFormed() bool {
	if ch == nil || ch.Size > maxSnapshotBytes || ch.Offset > ch.Size {
		return false
	}
	return uint64(len(ch.Data)) <= ch.Size-ch.Offset && len(ch.Meta.Membership.Voters()) > 0
}

// isPlausible reports whether a reply is consistent with what this leader sent.
func (c *Core) isPlausible(m Message) bool {
	switch m.Type {
	case MessageAppendReply:
		return m.Reject || m.Index <= c.log.last()
	case MessageHeartbeatReply:
		return m.Round <= c.round
	case MessageSnapshotReply:
		return m.Hint <= uint64(len(c.snapshot.Data))
	}
	return true
}
