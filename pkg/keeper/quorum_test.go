package keeper

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/logging"
	"github.com/sesamemux/sesamemux/pkg/settings"
	"github.com/sesamemux/sesamemux/pkg/timeline"
)

// quorum says which keepers a test runs in its own process.
type quorum struct {
	links    *access.Transport
	size     int
	recorder *timeline.Recorder // of all of them; nil: none
}

// testKeeper is one keeper that runs.
type testKeeper struct {
	address string
	stop    func() // clean, once
}

// startQuorum runs keepers that reach each other over loopback, until the test
// ends.
func startQuorum(t *testing.T, q quorum) []testKeeper {
	t.Helper()
	listeners := make([]net.Listener, q.size)
	peers := make([]settings.Peer, q.size)
	for i := range listeners {
		l, err := q.links.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = l
		peers[i] = settings.Peer{ID: uint64(i + 1), Address: l.Addr().String()}
	}
	keepers := make([]testKeeper, q.size)
	for i, l := range listeners {
		s := settings.Default[settings.Keeper]()
		s.ID, s.Cluster, s.FailureDomain, s.MetricsListen = uint64(i+1), "shops", fmt.Sprintf("fd-%d", i+1), ""
		s.DataDir = t.TempDir()
		s.RPCListen, s.Peers = peers[i].Address, peers
		keepers[i] = q.start(t, s, l)
	}
	return keepers
}

func (q quorum) start(t *testing.T, s settings.Keeper, l net.Listener) testKeeper {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- runOn(ctx, s, reach{q.links, l}, q.recorder, logging.New(io.Discard, logging.Options{}))
	}()
	stopped := false
	stop := func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(stop)
	return testKeeper{address: s.RPCListen, stop: stop}
}
