package raft

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// Member is one replica of the cluster.
type Member struct {
	ID      ID     `json:"id"`
	Address string `json:"address"`
	Store   uint64 `json:"store,omitempty"` // store ID; 0: not recorded in the membership
	Learner bool   `json:"learner,omitempty"`
}

// Membership is the set of replicas, sorted by ID.
type Membership struct {
	Members   []Member `json:"members"`
	HighestID ID       `json:"highest_id"` // highest ID ever used; new IDs must be higher
}

// NewMembership returns a membership of the given members.
func NewMembership(members []Member) Membership {
	ms := Membership{Members: slices.Clone(members)}
	slices.SortFunc(ms.Members, func(a, b Member) int { return int(int64(a.ID) - int64(b.ID)) })
	if n := len(ms.Members); n > 0 {
		ms.HighestID = ms.Members[n-1].ID
	}
	return ms
}

// Member returns the member with an ID.
func (ms Membership) Member(id ID) (Member, bool) {
	i := ms.find(id)
	if i < 0 {
		return Member{}, false
	}
	return ms.Members[i], true
}

// Removed reports whether an ID was that of a member and is no longer. That is final, as IDs are not used
// again.
func (ms Membership) Removed(id ID) bool {
	return id <= ms.HighestID && ms.find(id) < 0
}

// IsVoter reports whether an ID is that of a voting member.
func (ms Membership) IsVoter(id ID) bool {
	m, ok := ms.Member(id)
	return ok && !m.Learner
}

// Voters returns the IDs of the voting members, sorted.
func (ms Membership) Voters() []ID {
	var ids []ID
	for _, m := range ms.Members {
		if !m.Learner {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Quorum returns the number of voters that form a majority.
func (ms Membership) Quorum() int {
	return len(ms.Voters())/2 + 1
}

func (ms Membership) find(id ID) int {
	return slices.IndexFunc(ms.Members, func(m Member) bool { return m.ID == id })
}

func (ms Membership) withLearner(id ID, address string) (Membership, error) {
	if id <= ms.HighestID {
		return Membership{}, ErrIDUsed
	}
	next := ms.clone()
	next.Members = append(next.Members, Member{ID: id, Address: address, Learner: true})
	next.HighestID = id
	return next, nil
}

func (ms Membership) withVoter(id ID, store uint64) (Membership, error) {
	i := ms.find(id)
	if i < 0 {
		return Membership{}, ErrNotMember
	}
	next := ms.clone()
	next.Members[i].Learner = false
	next.Members[i].Store = store
	return next, nil
}

func (ms Membership) without(id ID) (Membership, error) {
	i := ms.find(id)
	if i < 0 {
		return Membership{}, ErrNotMember
	}
	next := ms.clone()
	next.Members = slices.Delete(next.Members, i, i+1)
	if len(next.Voters()) == 0 {
		return Membership{}, ErrLastVoter
	}
	return next, nil
}

func (ms Membership) clone() Membership {
	ms.Members = slices.Clone(ms.Members)
	return ms
}

func (ms Membership) encode() []byte {
	b, err := json.Marshal(ms)
	if err != nil {
		panic(err) // cannot happen: all fields can be marshalled
	}
	return b
}

func decodeMembership(data []byte) (Membership, error) {
	var ms Membership
	if err := json.Unmarshal(data, &ms); err != nil {
		return Membership{}, eris.Wrap(err, "decode membership entry")
	}
	return ms, nil
}
