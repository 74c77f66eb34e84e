package ctl

import (
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// maxHops is the number of consecutive redirects to another leader that are followed.
const maxHops = 3

// leaderSearch is the state of one call's search for the leader.
type leaderSearch struct {
	next       int    // index of the server to try
	hint       string // leader address from the last redirect
	hops       int
	mayHaveRun bool // an attempt may have taken effect
	// unsupported are the servers that don't know the method, such as a gate that does
	// not forward operators' calls.
	unsupported map[string]bool
}

// handleError records a failed attempt. It returns an error if another attempt would be
// useless.
func (s *leaderSearch) handleError(address string, err error) error {
	if errors.Is(err, rpc.ErrNotSent) {
		return nil
	}
	var coded *jsonrpc2.Error
	if !errors.As(err, &coded) {
		s.mayHaveRun = true
		return nil
	}
	switch coded.Code {
	case control.CodeNotLeader:
		s.followHint(address, coded)
		return nil
	case control.CodeUnavailable:
		return nil
	case control.CodeUnknown:
		s.mayHaveRun = true
		return nil
	case jsonrpc2.CodeMethodNotFound:
		s.unsupported[address] = true
		return nil
	}
	return failureFromRPC(coded)
}

// followHint makes the leader from a redirect the next server, unless the redirects form a
// loop.
func (s *leaderSearch) followHint(from string, coded *jsonrpc2.Error) {
	hint, _ := leaderHint(coded)
	if hint == "" || hint == from || s.hops >= maxHops {
		s.hops = 0
		return
	}
	s.hops++
	s.hint = hint
}

// leaderHint returns the leader's address from an error, "" if it names none, and reports
// whether the error means that the server is not the leader.
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
