package once

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/fake/service"
	"github.com/sesamemux/sesamemux/pkg/object"
	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/prove/recordlog"
	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	serviceName    = "records"
	organisation   = "boia"
	oncePath       = "/stamp"
	ordinaryPath   = "/bill"
	callers        = 64 // concurrent callers in the throughput measurement
	warmUpCalls    = 50 // calls before the measured ones
	maxRecords     = 1 << 20
	maxAnswerBytes = 4096
)

// measuredService returns the service that the measures call.
func measuredService() object.Service {
	return object.Service{
		Name:       serviceName,
		OnceOnly:   []object.Call{{Method: http.MethodPost, Path: oncePath}},
		KeyHeader:  service.KeyHeader,
		Timeout:    10 * time.Second,
		Retention:  time.Hour,
		MaxRecords: maxRecords,
		MaxAnswer:  maxAnswerBytes,
	}
}

// alwaysValid is a lease that never lapses.
type alwaysValid struct{}

// Valid implements serviceproxy.Lease.
func (alwaysValid) Valid() bool { return true }

// records implements serviceproxy.Records over a backend.
type records struct {
	backend backend
}

// Intend implements serviceproxy.Records.
func (r records) Intend(ctx context.Context, i machine.Intent) (machine.Decision, error) {
	out, err := r.backend.Propose(ctx, recordlog.Command{At: now(), Intend: &i})
	return out.Decision, err
}

// Conclude implements serviceproxy.Records.
func (r records) Conclude(ctx context.Context, c machine.Conclusion) error {
	_, err := r.backend.Propose(ctx, recordlog.Command{At: now(), Conclude: &c})
	return err
}

func now() view.Time { return view.Time(time.Now().UnixNano()) }

// rig is a gate in front of one service host, both on loopback.
type rig struct {
	proxy   *serviceproxy.Proxy
	service *http.Server
	gate    *http.Server
	address string
	client  *http.Client
	keys    atomic.Uint64
}

func newRig(b backend) (*rig, error) {
	serviceListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	gateListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := measuredView(serviceListener.Addr().String())
	permits := permit.NewLocal("g1")
	permits.Install(v)
	r := &rig{
		proxy: serviceproxy.New(serviceproxy.Config{
			Gate:    "g1",
			View:    func() *view.View { return v },
			Lease:   alwaysValid{},
			Records: records{backend: b},
			Permits: permits,
		}),
		address: gateListener.Addr().String(),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}},
	}
	s := service.New(service.Config{Listener: serviceListener})
	r.service = &http.Server{Handler: s.Handler()}
	r.gate = &http.Server{Handler: r.proxy}
	go r.service.Serve(serviceListener)
	go r.gate.Serve(gateListener)
	return r, nil
}

func measuredView(address string) *view.View {
	v := view.New()
	v.Services.Put(serviceName, measuredService(), 1)
	v.Organisations.Put(organisation, object.Organisation{Name: organisation}, 1)
	v.Hosts.Put("r1", view.Host{Name: "r1", Incarnation: 1, Kind: view.KindService, Service: serviceName, Address: address}, 1)
	const target = "host/r1"
	v.Shares.Put(target, view.Share{
		Target: target, Incarnation: 1, Bound: 2 * callers, Cold: 2 * callers,
		Gates: []view.GateShare{{Gate: "g1", Permits: 2 * callers}},
	}, 1)
	return v
}

func (r *rig) close() {
	r.client.CloseIdleConnections()
	_ = r.gate.Close()
	_ = r.proxy.Close(context.Background())
	_ = r.service.Close()
}

// call makes one call with a new key. It fails unless the outcome is that the call ran.
func (r *rig) call(ctx context.Context, path string) error {
	url := "http://" + r.address + serviceproxy.PathPrefix + serviceName + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("vest 7")))
	if err != nil {
		return err
	}
	req.Header.Set(serviceproxy.HeaderOrganisation, organisation)
	req.Header.Set(service.KeyHeader, fmt.Sprintf("key-%d", r.keys.Add(1)))
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if got := outcome.Outcome(resp.Header.Get(outcome.Header)); got != outcome.Ran {
		return fmt.Errorf("call ended without the outcome ran: status %d, outcome %s: %s", resp.StatusCode, got, body)
	}
	return nil
}

// measure returns the latencies of calls made one after another, and the throughput of concurrent
// callers.
func (r *rig) measure(ctx context.Context, path string, calls int, span time.Duration) ([]bench.Figure, error) {
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	for range warmUpCalls {
		if err := r.call(ctx, path); err != nil {
			return nil, err
		}
	}
	for range calls {
		began := time.Now()
		if err := r.call(ctx, path); err != nil {
			return nil, err
		}
		_ = h.RecordValue(int64(time.Since(began)))
	}
	rate, err := throughput(callers, span, func() error { return r.call(ctx, path) })
	return []bench.Figure{
		{Name: "latency p50", Value: milliseconds(h.ValueAtQuantile(50)), Unit: "ms"},
		{Name: "latency p99", Value: milliseconds(h.ValueAtQuantile(99)), Unit: "ms"},
		{Name: "throughput, 64 callers", Value: rate, Unit: "1/s"},
	}, err
}

func milliseconds(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }

// throughput runs a function in n goroutines for a time and returns the successful calls per second.
// The first error stops it.
func throughput(n int, span time.Duration, f func() error) (float64, error) {
	var done atomic.Int64
	var failed atomic.Pointer[error]
	var work sync.WaitGroup
	began := time.Now()
	for range n {
		work.Go(func() {
			for time.Since(began) < span && failed.Load() == nil {
				if err := f(); err != nil {
					failed.Store(&err)
					return
				}
				done.Add(1)
			}
		})
	}
	work.Wait()
	if err := failed.Load(); err != nil {
		return 0, *err
	}
	return float64(done.Load()) / time.Since(began).Seconds(), nil
}
