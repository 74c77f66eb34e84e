package raft

// progress is the leader's record of a follower.
type progress struct {
	match            uint64
	next             uint64
	inflight         int  // appends sent and not yet acknowledged
	probing          bool // sends one append at a time until a match is found
	matchAdvanced    bool // match increased since the last heartbeat
	heartbeatReplied bool // a heartbeat reply arrived since the last heartbeat
	active           bool // replied since the last quorum check
	silentTicks      int  // ticks of this leadership since its last reply
	round            uint64
	store            uint64

	snapshot    bool // a snapshot is being sent
	snapshotAt  uint64
	chunkOffset uint64
	chunkTicks  int // ticks since the last chunk was sent or acknowledged
}

func (p *progress) canSend(limit int) bool {
	if p.probing {
		return p.inflight == 0
	}
	return p.inflight < limit
}

// advanceMatch records a match and reports whether it increased.
func (p *progress) advanceMatch(match uint64) bool {
	p.probing = false
	p.inflight = max(0, p.inflight-1)
	p.next = max(p.next, match+1)
	if match <= p.match {
		return false
	}
	p.match = match
	p.matchAdvanced = true
	return true
}

// probeFrom continues with probes at next, after a rejected append.
func (p *progress) probeFrom(next uint64) {
	p.next = max(next, p.match+1)
	p.inflight = 0
	p.probing = true
}
