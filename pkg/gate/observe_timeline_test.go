package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// noWork is a WorkSource without work.
type noWork struct{}

func (noWork) Uses() []view.TargetUse            { return nil }
func (noWork) Settled(*view.View) []view.GroupID { return nil }

func newSkewedRecorder(t *testing.T, process string, skew time.Duration) *timeline.Recorder {
	t.Helper()
	now := func() time.Time { return time.Now().Add(skew) }
	r, err := timeline.NewRecorder(timeline.Options{Process: process, Now: now})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// merged returns the kinds of the merged events of two processes, in order.
func merged(a, b *timeline.Recorder) []timeline.Kind {
	var kinds []timeline.Kind
	for _, e := range timeline.Merge(a.Events(timeline.Filter{}, 0), b.Events(timeline.Filter{}, 0)) {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}

// TestSyncOrdersTimeLines checks that a sync keeps the merged events in causal order, although
// the keeper's clock is 5 s behind or ahead.
func TestSyncOrdersTimeLines(t *testing.T) {
	for _, skew := range []time.Duration{-5 * time.Second, 5 * time.Second} {
		keeper, own := newSkewedRecorder(t, "keeper/1", skew), newSkewedRecorder(t, "gate/g1", 0)
		s := rpc.NewServer()
		defer s.Close()
		rpc.Handle(s, string(control.MethodGateSync), func(_ context.Context, req control.GateSyncRequest) (control.GateSyncReply, error) {
			keeper.Observe(req.Clock)
			keeper.Record(timeline.Event{Kind: timeline.ViewPublished})
			return control.GateSyncReply{LeaseMillis: time.Hour.Milliseconds(), Clock: keeper.Stamp()}, nil
		})
		near, far := net.Pipe()
		s.ServeConn(far)
		caller := leader.NewCaller([]string{"k"}, func(context.Context, string) (net.Conn, error) { return near, nil })
		defer caller.Close()
		g := New(Config{
			Self: view.Gate{Name: "g1"}, Caller: caller, Clock: clock.NewMonotonic(), Source: noWork{},
			Events: NewTimelineEvents(own), Timeline: own, Logger: log.New(io.Discard),
		})
		own.Record(timeline.Event{Kind: timeline.ProcessStarted})
		if !g.syncer.sync(t.Context()) {
			t.Fatal("no lease")
		}
		want := []timeline.Kind{timeline.ProcessStarted, timeline.ViewPublished, timeline.LeaseGranted}
		if got := merged(own, keeper); !slices.Equal(got, want) {
			t.Errorf("keeper clock off by %v: got %v, want %v", skew, got, want)
		}
	}
}

// TestHandoverOrdersTimeLines checks that a hand-over keeps the merged events in causal order,
// although the receiving gate's clock is 5 s behind.
func TestHandoverOrdersTimeLines(t *testing.T) {
	first, second := newSkewedRecorder(t, "gate/g1", 0), newSkewedRecorder(t, "gate/g2", -5*time.Second)
	e := echo.New()
	e.Use(observeTimeline(second))
	e.POST("/", func(echo.Context) error {
		second.Record(timeline.Event{Kind: timeline.RequestSent})
		return nil
	})
	first.Record(timeline.Event{Kind: timeline.RequestHandedOver})
	req := httptest.NewRequest(http.MethodPost, "/", nil)
	req.Header.Set(timeline.Header, first.Stamp().String())
	e.ServeHTTP(httptest.NewRecorder(), req)
	want := []timeline.Kind{timeline.RequestHandedOver, timeline.RequestSent}
	if got := merged(first, second); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
