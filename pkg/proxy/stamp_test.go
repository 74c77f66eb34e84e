package proxy

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/stream"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// TestHandedOverRequestCarriesStamp checks the timeline header of a handed-over request.
// The peer reads the request and closes the connection.
func TestHandedOverRequestCarriesStamp(t *testing.T) {
	headers := make(chan http.Header, 1)
	dial := func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if r, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				headers <- r.Header
			}
		}()
		return near, nil
	}
	v := view.New()
	p := New(Config{
		Gate:          view.Gate{Name: "g1"},
		View:          func() *view.View { return v },
		Permits:       permit.NewLocal("g1"),
		Dial:          dial,
		TimelineStamp: func() string { return "7.1" },
	})
	c := &call{id: "r1", deadline: time.Now().Add(time.Minute), excludedPeers: make(map[view.GateName]time.Time), tracker: stream.NewTracker("r1", 0)}
	p.attemptPeer(t.Context(), &queue{}, c, &view.Gate{Name: "g2", PeerAddress: "g2:1"}, nil, nil)
	if got := (<-headers).Get(timeline.Header); got != "7.1" {
		t.Fatalf("got stamp %q, want 7.1", got)
	}
}
