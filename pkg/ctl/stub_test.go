package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// cluster is the state that the stubs of one test share.
type cluster struct {
	mu       sync.Mutex
	stubs    map[string]*stub
	revision uint64
	texts    map[uint64]string
	answers  map[string]control.ChangeResult // by change ID
	runs     int                             // changes that took effect
}

// stub is one server of the cluster.
type stub struct {
	cluster *cluster
	server  *rpc.Server
	mu      sync.Mutex
	conns   []net.Conn
	faults  []fault // one per call; nil for none
	calls   int
}

// fault replaces a stub's answer to one call.
type fault func(s *stub) error

func newCluster(addresses ...string) *cluster {
	c := &cluster{stubs: make(map[string]*stub), texts: map[uint64]string{0: ""}, answers: make(map[string]control.ChangeResult)}
	for _, a := range addresses {
		c.stubs[a] = newStub(c)
	}
	return c
}

// handle registers a handler that applies the stub's next fault first.
func handle[P, R any](s *stub, m control.Method, h func(P) (R, error)) {
	rpc.Handle(s.server, string(m), func(_ context.Context, p P) (R, error) {
		var none R
		if err := s.nextFault(); err != nil {
			return none, err
		}
		r, err := h(p)
		if err == nil && s.takeReplyLoss() {
			s.closeConns()
		}
		return r, err
	})
}

func newStub(c *cluster) *stub {
	s := &stub{cluster: c, server: rpc.NewServer()}
	handle(s, control.MethodApply, func(p control.ApplyRequest) (control.ChangeResult, error) {
		return c.change(p.ChangeID, p.BaseRevision, p.Text)
	})
	handle(s, control.MethodRollback, func(p control.RollbackRequest) (control.ChangeResult, error) {
		return c.change(p.ChangeID, p.BaseRevision, c.text(p.To))
	})
	drain := func(p control.DrainRequest) (control.ChangeResult, error) {
		return c.change(p.ChangeID, c.current(), c.text(c.current()))
	}
	handle(s, control.MethodDrain, drain)
	handle(s, control.MethodRestore, drain)
	handle(s, control.MethodGet, func(p control.GetRequest) (control.GetResult, error) {
		r := p.ObjectRevision
		if r == 0 {
			r = c.current()
		}
		return control.GetResult{ObjectRevision: r, Text: c.text(r)}, nil
	})
	handle(s, control.MethodStatus, func(struct{}) (control.Status, error) {
		return control.Status{
			Leader: "leader:1", ViewRevision: 40, Barrier: 39,
			Keepers: []control.Member{{ID: 1, Address: "leader:1"}},
			Gates:   []control.GateStatus{{Gate: view.Gate{Name: "g1", RPCAddress: "gate:1"}, LeaseLeftMS: -1}},
			Hosts:   []view.Host{{Name: "h1", Kind: view.KindService, Service: "records", Drained: true}, {Name: "h2", FailureDomain: "fd-b"}},
			Groups:  []view.Group{{ID: "assistant-1", State: view.StateServing, Members: []view.Member{{Host: "h2"}, {Host: "h3"}}}},
		}, nil
	})
	handle(s, control.MethodWait, func(p control.WaitRequest) (control.WaitResult, error) {
		if p.ViewRevision > 1000 {
			return control.WaitResult{Barrier: 1000, LaggingGates: []view.GateName{"g2"}}, nil
		}
		return control.WaitResult{InForce: true, Barrier: p.ViewRevision}, nil
	})
	handle(s, control.MethodHistory, func(struct{}) (control.HistoryResult, error) {
		return control.HistoryResult{Changes: []control.Change{{ObjectRevision: 2, ChangeID: "c-b", Kind: "apply"}, {ObjectRevision: 1, ChangeID: "c-a", Kind: "apply"}}}, nil
	})
	handle(s, control.MethodKeeperStatus, func(struct{}) (control.KeeperStatus, error) {
		return control.KeeperStatus{ID: 1, Role: "leader", Members: []control.Member{{ID: 1, Address: "leader:1"}, {ID: 2, Address: "lost:1"}}}, nil
	})
	handle(s, control.MethodKeeperReplace, func(control.KeeperReplaceRequest) (control.KeeperStatus, error) {
		return control.KeeperStatus{}, nil
	})
	handle(s, control.MethodQuarantineList, func(struct{}) (control.QuarantineListResult, error) {
		return control.QuarantineListResult{Quarantines: []view.Quarantine{{Fingerprint: "ab12", Crashes: 2}}}, nil
	})
	handle(s, control.MethodQuarantineRelease, func(control.QuarantineReleaseRequest) (struct{}, error) { return struct{}{}, nil })
	handle(s, control.MethodTimeline, func(p control.TimelineRequest) (control.TimelineResult, error) {
		return control.TimelineResult{Events: timeline.Select([]timeline.Event{
			{At: timeline.HLC{Wall: 5}, Process: "keeper/1", Kind: timeline.DrainStarted, Domain: "fd-a"},
			{At: timeline.HLC{Wall: 4}, Process: "keeper/1", Kind: timeline.LeaderElected},
		}, p.Filter)}, nil
	})
	return s
}

// change is a compare-and-set register that deduplicates by change ID.
func (c *cluster) change(id string, base uint64, text string) (control.ChangeResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first, ok := c.answers[id]; ok {
		first.Resent = true
		return first, nil
	}
	if base != c.revision {
		return control.ChangeResult{}, coded(control.CodeConflict, control.Conflict{Base: base, Current: c.revision})
	}
	c.revision++
	c.runs++
	c.texts[c.revision] = text
	c.answers[id] = control.ChangeResult{ObjectRevision: c.revision, ViewRevision: view.Revision(c.revision)}
	return c.answers[id], nil
}

func (c *cluster) current() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

func (c *cluster) text(revision uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.texts[revision]
}

// dial connects to a stub through an in-memory pipe.
func (c *cluster) dial(_ context.Context, address string) (net.Conn, error) {
	s := c.stubs[address]
	if s == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	s.mu.Lock()
	s.conns = append(s.conns, far)
	s.mu.Unlock()
	s.server.ServeConn(far)
	return near, nil
}

var errLoseReply = errors.New("execute the call, then close the connection")

// nextFault applies the next fault; errLoseReply is left for takeReplyLoss.
func (s *stub) nextFault() error {
	s.mu.Lock()
	s.calls++
	if len(s.faults) == 0 || s.faults[0] == nil {
		s.faults = s.faults[min(1, len(s.faults)):]
		s.mu.Unlock()
		return nil
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	s.mu.Unlock()
	err := f(s)
	if errors.Is(err, errLoseReply) {
		s.mu.Lock()
		s.faults = append([]fault{loseReply}, s.faults...)
		s.mu.Unlock()
		return nil
	}
	return err
}

// takeReplyLoss reports whether the reply must be lost.
func (s *stub) takeReplyLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 || s.faults[0] == nil {
		return false
	}
	if !errors.Is(s.faults[0](s), errLoseReply) {
		return false
	}
	s.faults = s.faults[1:]
	return true
}

// closeConns closes the stub's connections.
func (s *stub) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// loseReply lets the call take effect and closes the connection before the reply.
func loseReply(*stub) error { return errLoseReply }

// errorFault returns a fault that answers with an error code.
func errorFault(code int64, data any) fault {
	return func(*stub) error { return coded(code, data) }
}

func coded(code int64, data any) error {
	e := &jsonrpc2.Error{Code: code, Message: fmt.Sprintf("code %d", code)}
	if data != nil {
		e.SetError(data)
	}
	return e
}

// outcome is the exit code and output of one command line.
type outcome struct {
	code        ExitCode
	out, errOut string
}

// runCommand runs one command line against a cluster in virtual time.
func runCommand(t *testing.T, c *cluster, args ...string) outcome {
	t.Helper()
	var o outcome
	synctest.Test(t, func(*testing.T) {
		var out, errOut bytes.Buffer
		ids := 0
		o.code = Run(args, Environment{
			Stdout: &out, Stderr: &errOut, Dial: c.dial,
			Environ: []string{"SESAME_CTL_OPERATOR=ana"},
			NewID: func() string {
				ids++
				return fmt.Sprint("c-new-", ids)
			},
		})
		o.out, o.errOut = out.String(), errOut.String()
		for _, s := range c.stubs {
			s.server.Close()
		}
	})
	return o
}

func decode[T any](t *testing.T, text string) T {
	t.Helper()
	var v T
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
	return v
}

var sampleProblems = []object.Problem{{File: "objects.ini", Line: 3, Object: "version v1", Field: "model", Message: "is missing"}}
