package ctl

import (
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// maxHops is how many answers that name another leader are followed at once.
const maxHops = 3

// search is the state of one call's way to the leader.
type search struct {
	next  int    // index of the server to try
	hint  string // leader named by the last answer
	hops  int
	maybe bool // an attempt may have taken effect
	// strangers are the servers that don't know the method, such as a gate
	// that does not pass operators' calls on.
	strangers map[string]bool
}

// judge takes in a failed attempt; it returns the failure when trying again is
// of no use.
func (s *search) judge(address string, err error) error {
	if errors.Is(err, rpc.ErrNotSent) {
		return nil
	}
	var coded *jsonrpc2.Error
	if !errors.As(err, &coded) {
		s.maybe = true
		return nil
	}
	switch coded.Code {
	case control.CodeNotLeader:
		s.follow(address, coded)
		return nil
	case control.CodeUnavailable:
		return nil
	case control.CodeUnknown:
		s.maybe = true
		return nil
	case jsonrpc2.CodeMethodNotFound:
		s.strangers[address] = true
		return nil
	}
	return refusal(coded)
}

// follow takes the named leader as the next server, but for answers that lead
// round in circles.
func (s *search) follow(from string, coded *jsonrpc2.Error) {
	hint, _ := leaderHint(coded)
	if hint == "" || hint == from || s.hops >= maxHops {
		s.hops = 0
		return
	}
	s.hops++
	s.hint = hint
}

// leaderHint tells whether an error says that the server doesn't lead, and the
// address that it names, "" if none.
func leaderHint(err error) (string, bool) {
	var coded *jsonrpc2.Error
	if !errors.As(err, &coded) || coded.Code != control.CodeNotLeader {
		return "", false
	}
	var d control.NotLeader
	if !decodeData(coded, &d) {
		return "", true
	}
	return d.Leader, true
}

func decodeData(e *jsonrpc2.Error, v any) bool {
	return e.Data != nil && json.Unmarshal(*e.Data, v) == nil
}
