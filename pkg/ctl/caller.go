package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

const (
	attemptTimeout = 3 * time.Second        // one server that does not answer
	retryInterval  = 200 * time.Millisecond // between two attempts
	leastAttempt   = 50 * time.Millisecond  // an attempt with less time left is not begun
	maxHops        = 3                      // answers that name another leader, followed at once
)

// caller finds the leader and calls it.
type caller struct {
	servers []string
	dial    rpc.DialFunc
	clients map[string]*rpc.Client
	last    map[string]string // last error by server, for the operator
}

func newCaller(servers []string, dial rpc.DialFunc) *caller {
	return &caller{servers: servers, dial: dial, clients: make(map[string]*rpc.Client), last: make(map[string]string)}
}

func (c *caller) close() {
	for _, k := range c.clients {
		k.Close()
	}
}

// once sends one request to one server.
func (c *caller) once(ctx context.Context, address string, m control.Method, params, result any) error {
	k := c.clients[address]
	if k == nil {
		k = rpc.NewClient(address, c.dial)
		c.clients[address] = k
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := k.Call(ctx, string(m), params, result)
	if err != nil {
		c.last[address] = err.Error()
	}
	return err
}

// search is the state of one call's way to the leader.
type search struct {
	next  int    // index of the server to try
	hint  string // leader named by the last answer
	hops  int
	maybe bool // an attempt may have taken effect
}

// call tries servers until one answers for good or the time is over.
func (c *caller) call(ctx context.Context, r request, result any) error {
	var s search
	for {
		address := s.hint
		s.hint = ""
		if address == "" {
			address = c.servers[s.next%len(c.servers)]
			s.next++
		}
		err := c.once(ctx, address, r.method, r.params, result)
		if err == nil {
			return nil
		}
		if final := s.judge(address, err, r); final != nil {
			return final
		}
		if s.hint != "" {
			continue
		}
		if !pause(ctx, retryInterval) {
			return c.giveUp(s, r)
		}
	}
}

// judge takes in a failed attempt; it returns the failure when trying again is
// of no use.
func (s *search) judge(address string, err error, r request) error {
	if errors.Is(err, rpc.ErrNotSent) {
		return nil
	}
	var coded *jsonrpc2.Error
	if !errors.As(err, &coded) {
		return s.mayHaveRun(r)
	}
	switch coded.Code {
	case control.CodeNotLeader:
		s.follow(address, coded)
		return nil
	case control.CodeUnavailable:
		return nil
	case control.CodeUnknown:
		return s.mayHaveRun(r)
	}
	return refusal(coded)
}

// mayHaveRun notes an attempt whose outcome is unknown. What can't be sent
// again ends there.
func (s *search) mayHaveRun(r request) error {
	s.maybe = true
	if r.resend {
		return nil
	}
	return unknownOutcome(r)
}

// follow takes the named leader as the next server, but for answers that lead
// round in circles.
func (s *search) follow(from string, coded *jsonrpc2.Error) {
	var d control.NotLeader
	if !decodeData(coded, &d) || d.Leader == "" || d.Leader == from || s.hops >= maxHops {
		s.hops = 0
		return
	}
	s.hops++
	s.hint = d.Leader
}

func decodeData(e *jsonrpc2.Error, v any) bool {
	return e.Data != nil && json.Unmarshal(*e.Data, v) == nil
}

// refusal turns an answer that stands into a failure.
func refusal(e *jsonrpc2.Error) *Failure {
	switch e.Code {
	case control.CodeConflict:
		return conflict(e)
	case control.CodeInvalid:
		var problems []object.Problem
		decodeData(e, &problems)
		return &Failure{Code: ExitRefused, Message: e.Message, Problems: problems, Hint: "nothing was changed; mend the problems and apply again"}
	case control.CodeNotFound:
		return &Failure{Code: ExitRefused, Message: e.Message, Hint: programName + " status and history show what there is"}
	case control.CodeDenied:
		return &Failure{Code: ExitDenied, Message: e.Message, Hint: "nothing was changed; use a certificate with the role operator (tls_cert)"}
	case jsonrpc2.CodeMethodNotFound:
		return &Failure{Code: ExitRefused, Message: e.Message, Hint: "the server may be of another version, or no keeper or gate"}
	}
	return &Failure{Code: ExitRefused, Message: e.Message}
}

func conflict(e *jsonrpc2.Error) *Failure {
	var d control.Conflict
	f := &Failure{Code: ExitConflict, Message: e.Message, Hint: "nothing was changed; look at " + programName + " status and try again"}
	if decodeData(e, &d) {
		f.Message = fmt.Sprintf("the change started from object revision %d, in force is %d", d.Base, d.Current)
		f.Hint = fmt.Sprintf("nothing was changed; see %s diff FILE, merge, and apply with --base %d", programName, d.Current)
	}
	return f
}

func unknownOutcome(r request) *Failure {
	f := &Failure{Code: ExitUnknown, ChangeID: r.changeID, Message: "the reply was lost: the change may or may not have taken effect"}
	f.Hint = "look at " + programName + " keeper status before trying again"
	if r.changeID != "" {
		f.Hint = fmt.Sprintf("run the same command again with --change-id %s: it takes effect at most once", r.changeID)
	}
	return f
}

// giveUp tells how the call ended when its time was over.
func (c *caller) giveUp(s search, r request) error {
	if s.maybe && r.changes {
		return unknownOutcome(r)
	}
	var tried []string
	for _, address := range slices.Sorted(keysOf(c.last)) {
		tried = append(tried, address+": "+c.last[address])
	}
	return &Failure{
		Code:    ExitUnavailable,
		Message: "no leader answered in time\n  " + strings.Join(tried, "\n  "),
		Hint:    "nothing was changed; are the servers right (--servers) and a majority of the keepers up? " + programName + " keeper status asks each",
	}
}

// pause waits and tells whether time is left for another attempt; without it,
// it does not wait.
func pause(ctx context.Context, d time.Duration) bool {
	if end, ok := ctx.Deadline(); ok && time.Until(end) < d+leastAttempt {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
