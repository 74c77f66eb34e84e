package keeper

import (
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// recorderApart returns a recorder whose clock is apart from this machine's.
func recorderApart(t *testing.T, process string, apart time.Duration) *timeline.Recorder {
	t.Helper()
	now := func() time.Time { return time.Now().Add(apart) }
	r, err := timeline.NewRecorder(timeline.Options{Process: process, Now: now})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestSyncJoinsTimeLines gives a gate its first lease by a keeper whose clock is
// 5 s behind or ahead. On the merged time line, the keeper's event stands between
// what the gate recorded before and after.
func TestSyncJoinsTimeLines(t *testing.T) {
	for _, apart := range []time.Duration{-5 * time.Second, 5 * time.Second} {
		keeper := recorderApart(t, "keeper/1", apart)
		gate := recorderApart(t, "gate/g1", 0)
		plain := &access.Transport{}
		address := startQuorum(t, quorum{links: plain, size: 1, recorder: keeper})[0].address
		client := rpc.NewClient(address, plain.Dial())
		defer client.Close()

		gate.Record(timeline.Event{Kind: timeline.ProcessStarted})
		var reply control.GateSyncReply
		for reply.LeaseMillis == 0 { // until the keeper leads
			req := control.GateSyncRequest{Gate: view.Gate{Name: "g1", Incarnation: 1, FailureDomain: "fd-a"}, Clock: gate.Stamp()}
			if err := client.Call(t.Context(), string(control.MethodGateSync), req, &reply); err == nil {
				gate.Observe(reply.Clock)
			}
		}
		gate.Record(timeline.Event{Kind: timeline.ViewInstalled})

		var order []timeline.Kind
		for _, e := range timeline.Merge(gate.Events(timeline.Filter{}, 0), keeper.Events(timeline.Filter{}, 0)) {
			if e.Process == "gate/g1" || e.Kind == timeline.LeaseGranted {
				order = append(order, e.Kind)
			}
		}
		want := []timeline.Kind{timeline.ProcessStarted, timeline.LeaseGranted, timeline.ViewInstalled}
		if len(order) != len(want) || order[0] != want[0] || order[1] != want[1] || order[2] != want[2] {
			t.Errorf("keeper %v apart: %v, want %v", apart, order, want)
		}
	}
}
