package gates

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/proxy"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	overheadCallers   = 64
	shortAnswerTokens = 1
	longAnswerTokens  = 200
)

// rig is an upstream and a gate in front of it, over loopback TCP.
type rig struct {
	engine          *stubEngine
	upstreamAddress string
	gateAddress     string
	servers         []*http.Server
	proxy           *proxy.Proxy
	stop            context.CancelFunc
}

func serverProtocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func http1Transport() *http.Transport { return &http.Transport{MaxIdleConnsPerHost: overheadCallers} }

func http2Transport() *http.Transport {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{Protocols: p}
}

type alwaysValid struct{}

func (alwaysValid) Valid() bool { return true }

func newRig() (*rig, error) {
	r := &rig{engine: &stubEngine{tokens: shortAnswerTokens}}
	var err error
	if r.upstreamAddress, err = r.serve(r.engine); err != nil {
		return nil, err
	}
	v := oneGroup(r.upstreamAddress)
	local := permit.NewLocal("g1")
	local.Install(v)
	r.proxy = proxy.New(proxy.Config{
		Gate:    view.Gate{Name: "g1", Incarnation: 1, FailureDomain: "a"},
		View:    func() *view.View { return v },
		Lease:   alwaysValid{},
		Permits: local,
	})
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go r.proxy.Run(ctx)
	e := echo.New()
	r.proxy.Register(e)
	r.gateAddress, err = r.serve(e)
	return r, err
}

// oneGroup returns a view with one group and one gate.
func oneGroup(address string) *view.View {
	const permits = 4096
	v := view.New()
	v.Revision = 1
	v.ModelGroups.Put("assistant", object.ModelGroup{Name: "assistant"}, 1)
	v.Organisations.Put("boia", object.Organisation{Name: "boia", Weight: 1, MaxQueued: permits}, 1)
	v.Groups.Put("m-1", view.Group{
		ID: "m-1", ModelGroup: "assistant", Epoch: 1, State: view.StateServing, Version: "v1",
		Members: []view.Member{{Host: "h1", Incarnation: stubIncarnation, Address: address}},
	}, 1)
	v.Shares.Put("group/m-1", view.Share{
		Target: "group/m-1", Incarnation: stubIncarnation, Bound: permits, Cold: permits,
		Gates: []view.GateShare{{Gate: "g1", Permits: permits}},
	}, 1)
	return v
}

func (r *rig) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, Protocols: serverProtocols()}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (r *rig) close() {
	r.stop()
	r.proxy.Close()
	for _, s := range r.servers {
		_ = s.Close()
	}
}

// sample is the cost of a number of requests.
type sample struct {
	requests int
	elapsed  time.Duration
	cpu      time.Duration
	mallocs  uint64
	latency  *hdrhistogram.Histogram // microseconds
}

var errIncompleteAnswer = eris.New("answer incomplete: status is not 200 or the end marker is missing")

// sendRequests sends requests for answers of the given length to an address, from many callers at once.
func (r *rig) sendRequests(t *http.Transport, address string, tokens, requests int, pace time.Duration) (sample, error) {
	r.engine.tokens, r.engine.tokenInterval = tokens, pace
	defer t.CloseIdleConnections()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, began := processorTime(), time.Now()
	s := sample{requests: requests, latency: hdrhistogram.New(1, maxLatencyMicros, 3)}
	var left atomic.Int64
	left.Store(int64(requests))
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	for range overheadCallers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				at := time.Now()
				err := sendRequest(t, address)
				mu.Lock()
				failed = errors.Join(failed, err)
				_ = s.latency.RecordValue(time.Since(at).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	s.elapsed, s.cpu = time.Since(began), processorTime()-cpu
	runtime.ReadMemStats(&after)
	s.mallocs = after.Mallocs - before.Mallocs
	return s, failed
}

var requestBody = []byte(`{"model":"assistant","stream":true,"messages":[{"role":"user","content":"What does the bulletin say about repacking vests of this year?"}]}`)

func sendRequest(t *http.Transport, address string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+infer.Path, bytes.NewReader(requestBody))
	if err != nil {
		return err
	}
	req.Header.Set(infer.HeaderOrganisation, "boia")
	res, err := t.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK || !bytes.HasSuffix(body, []byte(infer.DoneMarker+"\n\n")) {
		return errIncompleteAnswer
	}
	return nil
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost is the cost of one request and of one token in the whole process.
type cost struct {
	perRequest, perToken time.Duration
	mallocsPerToken      float64
	p50, p99             float64 // milliseconds, of a request for one token
}

// measure derives the cost of a request and of a token at an address from the difference between
// short and long answers.
func (r *rig) measure(t *http.Transport, address string, requests int, pace time.Duration) (cost, error) {
	if _, err := r.sendRequests(t, address, shortAnswerTokens, overheadCallers, 0); err != nil {
		return cost{}, err
	}
	short, err := r.sendRequests(t, address, shortAnswerTokens, requests, 0)
	if err != nil {
		return cost{}, err
	}
	long, err := r.sendRequests(t, address, longAnswerTokens, requests/10, pace)
	if err != nil {
		return cost{}, err
	}
	perShort, perLong := short.cpu/time.Duration(short.requests), long.cpu/time.Duration(long.requests)
	perToken := (perLong - perShort) / (longAnswerTokens - shortAnswerTokens)
	mallocs := float64(long.mallocs)/float64(long.requests) - float64(short.mallocs)/float64(short.requests)
	return cost{
		perRequest:      perShort - perToken*shortAnswerTokens,
		perToken:        perToken,
		mallocsPerToken: mallocs / (longAnswerTokens - shortAnswerTokens),
		p50:             millis(short.latency, 50),
		p99:             millis(short.latency, 99),
	}, nil
}

func (c cost) figures() []bench.Figure {
	return []bench.Figure{
		{Name: "processor time per request", Value: float64(c.perRequest) / 1000, Unit: "us"},
		{Name: "processor time per token", Value: float64(c.perToken) / 1000, Unit: "us"},
		{Name: "allocations per token", Value: c.mallocsPerToken, Unit: ""},
		{Name: "request of one token p50", Value: c.p50, Unit: "ms"},
		{Name: "request of one token p99", Value: c.p99, Unit: "ms"},
	}
}

// overheadFigures returns the cost that the gate adds to the direct cost d.
func (c cost) overheadFigures(d cost) []bench.Figure {
	added := cost{
		perRequest: c.perRequest - d.perRequest, perToken: c.perToken - d.perToken,
		mallocsPerToken: c.mallocsPerToken - d.mallocsPerToken, p50: c.p50 - d.p50, p99: c.p99 - d.p99,
	}
	return append(added.figures(),
		bench.Figure{Name: "requests a second per core", Value: float64(time.Second) / float64(added.perRequest), Unit: "1/s"},
		bench.Figure{Name: "tokens a second per core", Value: float64(time.Second) / float64(added.perToken), Unit: "1/s"},
	)
}

// overhead compares requests through a gate with direct ones. Caller, gate and upstream share the
// process, so that the difference is the cost of the gate.
func overhead(name string, requests int, pace time.Duration) bench.Measure {
	return bench.Measure{Area: area, Name: name, Run: func(context.Context) ([]bench.Variant, error) {
		r, err := newRig()
		if err != nil {
			return nil, err
		}
		defer r.close()
		direct, err := r.measure(http1Transport(), r.upstreamAddress, requests, pace)
		if err != nil {
			return nil, err
		}
		multiplexed, err := r.measure(http2Transport(), r.upstreamAddress, requests, pace)
		if err != nil {
			return nil, err
		}
		gate, err := r.measure(http1Transport(), r.gateAddress, requests, pace)
		if err != nil {
			return nil, err
		}
		return []bench.Variant{
			{Name: "direct", Baseline: true, Figures: direct.figures()},
			{Name: "direct by HTTP/2 without TLS", Figures: multiplexed.figures()},
			{Name: "through a gate", Figures: gate.figures()},
			{Name: "added by the gate", Figures: gate.overheadFigures(direct)},
		}, nil
	}}
}

// coreScaling measures how the throughput through a gate grows with the number of processors.
func coreScaling(requests int) bench.Measure {
	return bench.Measure{Area: area, Name: "throughput through a gate by cores", Run: func(context.Context) ([]bench.Variant, error) {
		r, err := newRig()
		if err != nil {
			return nil, err
		}
		defer r.close()
		var list []bench.Variant
		for _, n := range []int{1, 2, 4, 8} {
			v, err := r.measureCores(n, requests)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		return list, nil
	}}
}

func (r *rig) measureCores(n, requests int) (bench.Variant, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(n))
	short, err := r.sendRequests(http1Transport(), r.gateAddress, shortAnswerTokens, requests, 0)
	if err != nil {
		return bench.Variant{}, err
	}
	long, err := r.sendRequests(http1Transport(), r.gateAddress, longAnswerTokens, requests/10, 0)
	if err != nil {
		return bench.Variant{}, err
	}
	return bench.Variant{Name: coreNames[n], Baseline: n == 1, Figures: []bench.Figure{
		{Name: "requests", Value: float64(short.requests) / short.elapsed.Seconds(), Unit: "1/s"},
		{Name: "tokens", Value: float64(long.requests*longAnswerTokens) / long.elapsed.Seconds(), Unit: "1/s"},
	}}, nil
}

var coreNames = map[int]string{1: "1 core", 2: "2 cores", 4: "4 cores", 8: "8 cores"}
