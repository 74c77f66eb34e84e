package control

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/edge/announce"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/fake/engine"
)

// exchangeCount is the number of exchanges over which a figure is averaged.
const exchangeCount = 2_000

// upstreamMessages measures the cost of an announcement and of a report. Both sides of the connection
// are in this process.
func upstreamMessages(context.Context) ([]bench.Variant, error) {
	announcements, err := announcementCost()
	if err != nil {
		return nil, err
	}
	reports, err := reportCost()
	if err != nil {
		return nil, err
	}
	return []bench.Variant{
		{Name: "announcement", Baseline: true, Figures: announcements},
		{Name: "report", Figures: reports},
	}, nil
}

// announcementCost measures announcements of an engine to a stub gate.
func announcementCost() ([]bench.Figure, error) {
	stub := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a announce.Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(announce.Reply{Gate: "gate-1"})
	}))
	defer stub.Close()
	var bytes atomic.Int64
	e := engine.New(engine.Options{
		Name:          "host-0001",
		FailureDomain: "fd-a",
		FabricDomain:  "fabric-1",
		Address:       "10.20.30.40:8000",
		Gates:         []string{stub.Listener.Addr().String()},
		Model:         engine.DefaultModelOptions(),
		Dial:          countingTCPDial(&bytes),
	})
	return averageCost(&bytes, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		e.AnnounceLeaving(ctx)
		return nil
	})
}

// reportCost measures requests for the report of a fake engine.
func reportCost() ([]bench.Figure, error) {
	e := engine.New(engine.Options{Name: "host-0001", Model: engine.DefaultModelOptions()})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	var bytes atomic.Int64
	dial := countingTCPDial(&bytes)
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(_ context.Context, network, address string) (net.Conn, error) { return dial(network, address) },
	}}
	defer client.CloseIdleConnections()
	return averageCost(&bytes, func() error {
		resp, err := client.Get(server.URL + report.Path)
		if err != nil {
			return eris.Wrap(err, "get report of the engine")
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	})
}

func countingTCPDial(bytes *atomic.Int64) func(network, address string) (net.Conn, error) {
	return func(network, address string) (net.Conn, error) {
		c, err := net.Dial(network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, total: bytes}, nil
	}
}

// averageCost returns the mean bytes and processor time of an exchange.
func averageCost(bytes *atomic.Int64, exchange func() error) ([]bench.Figure, error) {
	cpu := processorTime()
	for range exchangeCount {
		if err := exchange(); err != nil {
			return nil, err
		}
	}
	return []bench.Figure{
		{Name: "bytes, both ways", Value: float64(bytes.Load()) / exchangeCount, Unit: "B"},
		{Name: "processor, both sides", Value: float64((processorTime() - cpu).Microseconds()) / exchangeCount, Unit: "us"},
	}, nil
}
