package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// entryHost syncs with one coordinator, like an entry host.
type entryHost struct {
	request  control.FleetSyncRequest
	result   control.FleetSyncResult
	server   *process
	installs atomic.Bool // it puts documents in force
	earlier  bool        // of a version that doesn't tell which document is in force
	stop     chan struct{}
}

func newEntryHost(server *process, name string) *entryHost {
	return &entryHost{server: server, request: control.FleetSyncRequest{Process: name, EntryHost: true, AnyCoordinator: true, WaitMS: 200}, stop: make(chan struct{})}
}

// sync makes one sync call.
func (e *entryHost) sync() error {
	version := int64(-1)
	if e.request.InForce != nil {
		version = *e.request.InForce
	}
	if e.installs.Load() {
		version = max(version, e.result.DocumentVersion)
	}
	if !e.earlier {
		e.request.InForce = &version
	}
	raw, err := e.server.handleSync(context.Background(), e.request)
	if err != nil {
		return err
	}
	e.result = control.FleetSyncResult{}
	if err := json.Unmarshal(raw, &e.result); err != nil {
		return err
	}
	e.request.Session, e.request.Revision, e.request.Index = e.result.Session, e.result.Revision, e.result.Index
	e.request.LimitRevision, e.request.RelayRevision = e.result.LimitRevision, e.result.RelayRevision
	return nil
}

func (e *entryHost) run() {
	for {
		select {
		case <-e.stop:
			return
		default:
		}
		if e.sync() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// follower returns a coordinator that does not lead.
func (c *cluster) follower() *process {
	leader := c.leader()
	for _, name := range []string{"a", "b", "c"} {
		if name != leader && c.running[name] != nil {
			return c.running[name]
		}
	}
	return nil
}

func TestAcknowledgementWaitsUntilEntryHostsHaveTheDocument(t *testing.T) {
	for name, at := range map[string]func(c *cluster) *process{
		"entry host at the leader":   func(c *cluster) *process { return c.running[c.leader()] },
		"entry host at a follower":   func(c *cluster) *process { return c.follower() },
		"asked through the follower": func(c *cluster) *process { return c.follower() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSettledCluster(t)
				e := newEntryHost(at(c), "e1")
				e.installs.Store(true)
				go e.run()
				defer close(e.stop)
				time.Sleep(3 * time.Second)
				operator := c.running["a"]
				began := time.Now()
				if err := operator.PutDocument(context.Background(), []byte("v5")); err != nil || time.Since(began) > 300*time.Millisecond {
					t.Errorf("a document that is in force is acknowledged after %v: %v", time.Since(began), err)
				}
				e.installs.Store(false)
				if err := operator.PutDocument(context.Background(), []byte("v7")); !errors.Is(err, ErrUnavailable) {
					t.Errorf("a document that is not in force is acknowledged: %v", err)
				}
				time.AfterFunc(100*time.Millisecond, func() { e.installs.Store(true) })
				if err := operator.PutDocument(context.Background(), []byte("v7")); err != nil {
					t.Errorf("a document that came in force is not acknowledged: %v", err)
				}
				e.installs.Store(false)
				began = time.Now()
				for operator.PutDocument(context.Background(), []byte("v9")) != nil {
				}
				if took := time.Since(began); took < inForceTimeout || took > inForceTimeout+time.Second {
					t.Errorf("a document that an entry host does not take is acknowledged after %v, want %v", took, inForceTimeout)
				}
			})
		})
	}
}

func TestAcknowledgementDoesNotWaitForSilentOrEarlierEntryHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		silent := newEntryHost(c.follower(), "silent")
		if err := silent.sync(); err != nil {
			t.Fatal(err)
		}
		earlier := newEntryHost(c.running[c.leader()], "earlier")
		earlier.earlier = true
		go earlier.run()
		defer close(earlier.stop)
		time.Sleep(3 * time.Second)
		began := time.Now()
		if err := c.running["a"].PutDocument(context.Background(), []byte("v5")); err != nil || time.Since(began) > 300*time.Millisecond {
			t.Errorf("acknowledged after %v: %v", time.Since(began), err)
		}
	})
}

func TestEvacuationAndDepartureWaitForEntryHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		u := fleet.Upstream{ID: "u", Service: "plain", Address: "u:1", Zone: "z", StartedMS: 1, Sequence: 1, State: fleet.Ready}
		if _, err := c.running["a"].Announce(context.Background(), u); err != nil {
			t.Fatal(err)
		}
		e := newEntryHost(c.follower(), "e1")
		ended := make(chan struct{})
		go func() {
			e.run()
			close(ended)
		}()
		time.Sleep(3 * time.Second)
		if err := c.evacuate(context.Background(), "a"); err != nil {
			t.Error(err)
		}
		close(e.stop)
		time.Sleep(300 * time.Millisecond)
		// It is in touch still, and has heard of neither.
		if err := c.restore(context.Background(), "a"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("the end of an evacuation is acknowledged that an entry host does not know: %v", err)
		}
		<-ended
		e.stop = make(chan struct{})
		go e.run()
		defer func() { close(e.stop) }()
		time.Sleep(time.Second)
		if err := c.restore(context.Background(), "a"); err != nil {
			t.Error(err)
		}
		u.State, u.Sequence = fleet.Draining, 2
		if _, err := c.running["a"].Announce(context.Background(), u); err != nil {
			t.Error(err)
		}
		time.Sleep(300 * time.Millisecond)
		if st, _ := c.running["a"].replica.Load().store.State(); e.request.Index != st.Index || len(st.Evacuated) > 0 || len(st.Departures) != 1 {
			t.Errorf("entry host at index %d, state %+v", e.request.Index, st)
		}
	})
}
