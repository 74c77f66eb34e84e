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
	attemptTimeout = 3 * time.Second        // default limit for one server
	retryInterval  = 200 * time.Millisecond // between attempts
	minAttemptTime = 50 * time.Millisecond  // no attempt starts with less time left
)

// leaderClient finds the leader among the servers and calls it.
type leaderClient struct {
	servers    []string
	dial       rpc.DialFunc
	clients    map[string]*rpc.Client
	lastErrors map[string]string // by server, for the operator
}

func newLeaderClient(servers []string, dial rpc.DialFunc) *leaderClient {
	return &leaderClient{servers: servers, dial: dial, clients: make(map[string]*rpc.Client), lastErrors: make(map[string]string)}
}

func (c *leaderClient) close() {
	for _, k := range c.clients {
		k.Close()
	}
}

// callServer sends one request to one server, with the default timeout of an attempt.
func (c *leaderClient) callServer(ctx context.Context, address string, m control.Method, params, result any) error {
	return c.attemptCall(ctx, address, request{method: m, params: params}, result)
}

// attemptCall sends one request to one server and records its error.
func (c *leaderClient) attemptCall(ctx context.Context, address string, r request, result any) error {
	k := c.clients[address]
	if k == nil {
		k = rpc.NewClient(address, c.dial)
		c.clients[address] = k
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(r.attempt, attemptTimeout))
	defer cancel()
	err := k.Call(ctx, string(r.method), r.params, result)
	if err != nil {
		c.lastErrors[address] = shortError(err)
	}
	return err
}

// shortError formats an error without the code of a server's error.
func shortError(err error) string {
	var coded *jsonrpc2.Error
	if errors.As(err, &coded) {
		return coded.Message
	}
	return err.Error()
}

// call tries servers until one gives a final answer or the time is over.
func (c *leaderClient) call(ctx context.Context, r request, result any) error {
	s := leaderSearch{unsupported: make(map[string]bool)}
	for {
		address := s.hint
		s.hint = ""
		if address == "" {
			address = c.servers[s.next%len(c.servers)]
			s.next++
		}
		err := c.attemptCall(ctx, address, r, result)
		if err == nil {
			return nil
		}
		if final := s.handleError(address, err); final != nil {
			return final
		}
		if len(s.unsupported) == len(c.servers) {
			return unsupportedMethodFailure(r)
		}
		if s.hint != "" {
			continue
		}
		if !waitForRetry(ctx, retryInterval) {
			return c.timeoutFailure(s, r)
		}
	}
}

// timeoutFailure returns the failure of a call that ran out of time.
func (c *leaderClient) timeoutFailure(s leaderSearch, r request) error {
	if s.mayHaveRun && r.mutating {
		return unknownOutcomeFailure(r)
	}
	var tried []string
	for _, address := range slices.Sorted(mapKeys(c.lastErrors)) {
		tried = append(tried, address+": "+c.lastErrors[address])
	}
	return &Failure{
		Code:    ExitUnavailable,
		Message: "no leader answered in time\n  " + strings.Join(tried, "\n  "),
		Hint:    "nothing was changed; check the servers (--servers) and that a majority of the keepers is up; " + programName + " keeper status queries each keeper",
	}
}

// waitForRetry waits before another attempt. It is false if the context ends, or at once if too
// little time is left for another attempt.
func waitForRetry(ctx context.Context, d time.Duration) bool {
	if end, ok := ctx.Deadline(); ok && time.Until(end) < d+minAttemptTime {
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
