package raft

// progress is what a leader knows of a follower.
type progress struct {
	match            uint64
	next             uint64
	inflight         int  // appends sent since the last reply that told something
	probing          bool // one append at a time until a match is found
	matchAdvanced    bool // match grew since the last heartbeat
	heartbeatReplied bool // a heartbeat was answered since the last one
	active           bool // heard of since the last check of the quorum
	round            uint64
	store            uint64

	snapshot    bool // a snapshot is being sent
	snapshotAt  uint64
	chunkOffset uint64
	chunkTicks  int // since the last chunk was sent or acknowledged
}

func (p *progress) canSend(limit int) bool {
	if p.probing {
		return p.inflight == 0
	}
	return p.inflight < limit
}

// advanceMatch records a match and tells whether it grew.
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

// probeFrom tries again from next, after a rejected append.
func (p *progress) probeFrom(next uint64) {
	p.next = max(next, p.match+1)
	p.inflight = 0
	p.probing = true
}
