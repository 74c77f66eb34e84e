package ctl

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

const (
	attemptTimeout = 3 * time.Second        // one server that does not answer
	retryInterval  = 200 * time.Millisecond // between two attempts
	leastAttempt   = 50 * time.Millisecond  // an attempt with less time left is not begun
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

// ask sends one request to one server, with the usual bound on its time.
func (c *caller) ask(ctx context.Context, address string, m control.Method, params, result any) error {
	return c.once(ctx, address, request{method: m, params: params}, result)
}

// once sends one request to one server.
func (c *caller) once(ctx context.Context, address string, r request, result any) error {
	k := c.clients[address]
	if k == nil {
		k = rpc.NewClient(address, c.dial)
		c.clients[address] = k
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(r.attempt, attemptTimeout))
	defer cancel()
	err := k.Call(ctx, string(r.method), r.params, result)
	if err != nil {
		c.last[address] = shortError(err)
	}
	return err
}

// shortError leaves out the code of a server's error.
func shortError(err error) string {
	var coded *jsonrpc2.Error
	if errors.As(err, &coded) {
		return coded.Message
	}
	return err.Error()
}

// call tries servers until one answers for good or the time is over.
func (c *caller) call(ctx context.Context, r request, result any) error {
	s := search{strangers: make(map[string]bool)}
	for {
		address := s.hint
		s.hint = ""
		if address == "" {
			address = c.servers[s.next%len(c.servers)]
			s.next++
		}
		err := c.once(ctx, address, r, result)
		if err == nil {
			return nil
		}
		if final := s.judge(address, err); final != nil {
			return final
		}
		if len(s.strangers) == len(c.servers) {
			return stranger(r)
		}
		if s.hint != "" {
			continue
		}
		if !pause(ctx, retryInterval) {
			return c.giveUp(s, r)
		}
	}
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
