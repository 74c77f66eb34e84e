package raft

// membershipLog holds the memberships in the log, in order. The last one is in
// force. There is always at least one.
type membershipLog struct {
	items []membershipAt
}

type membershipAt struct {
	index      uint64
	membership Membership
}

func (l *membershipLog) reset(index uint64, ms Membership) {
	l.items = []membershipAt{{index: index, membership: ms}}
}

func (l *membershipLog) current() Membership {
	return l.items[len(l.items)-1].membership
}

// changedAt returns the index of the entry that set the current membership.
func (l *membershipLog) changedAt() uint64 {
	return l.items[len(l.items)-1].index
}

func (l *membershipLog) append(index uint64, ms Membership) {
	l.items = append(l.items, membershipAt{index: index, membership: ms})
}

// truncateFrom removes the memberships of entries from index on.
func (l *membershipLog) truncateFrom(index uint64) {
	n := len(l.items)
	for n > 1 && l.items[n-1].index >= index {
		n--
	}
	l.items = l.items[:n]
}

// at returns the membership in force after an entry.
func (l *membershipLog) at(index uint64) Membership {
	ms := l.items[0].membership
	for _, it := range l.items[1:] {
		if it.index <= index {
			ms = it.membership
		}
	}
	return ms
}

// compact drops the memberships before the one in force at index.
func (l *membershipLog) compact(index uint64) {
	for len(l.items) > 1 && l.items[1].index <= index {
		l.items = l.items[1:]
	}
}
