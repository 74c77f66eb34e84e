package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/health"
	"github.com/sesamemux/sesamemux/pkg/prove"
)

const (
	slowPath = "/slow"
	// lastLine is the end of a complete answer.
	lastLine = "end"
	// callerCount is the number of callers, each of which sends one request at a time.
	callerCount = 12
	// checkInterval is the minimum time between two health checks of the balancer.
	checkInterval = 100 * time.Millisecond
)

// slowAnswer sends a line every 100 ms for the requested time, and then the last line.
func slowAnswer(c echo.Context) error {
	d, err := time.ParseDuration(c.QueryParam("for"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	w := c.Response()
	w.WriteHeader(http.StatusOK)
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		_, _ = io.WriteString(w, "line\n")
		w.Flush()
	}
	_, err = io.WriteString(w, lastLine)
	return err
}

// balancer sends callers' requests to gates whose health checks succeed.
type balancer struct {
	bed    *testbed
	client *http.Client

	mu        sync.Mutex
	ready     []bool
	quit      chan struct{}
	done      sync.WaitGroup
	err       error
	completed int
}

func newBalancer(b *testbed) *balancer {
	dial := b.net.Dialer("callers")
	transport := &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: callerCount,
	}
	return &balancer{
		bed:    b,
		client: &http.Client{Transport: transport},
		ready:  make([]bool, len(b.gates)),
		quit:   make(chan struct{}),
	}
}

// check checks the health of each gate until quit is closed.
func (l *balancer) check() {
	defer l.done.Done()
	for {
		for i, g := range l.bed.gates {
			ok := l.healthy(string(g.name))
			l.mu.Lock()
			l.ready[i] = ok
			l.mu.Unlock()
		}
		select {
		case <-l.quit:
			return
		case <-time.After(max(l.bed.options.healthInterval, checkInterval)):
		}
	}
}

func (l *balancer) healthy(host string) bool {
	resp, err := l.client.Get("http://" + host + ":80" + health.Path)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns a gate whose last health check succeeded.
func (l *balancer) pick(n int) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.ready {
		at := (n + i) % len(l.ready)
		if l.ready[at] {
			return string(l.bed.gates[at].name), true
		}
	}
	return "", false
}

// sendRequests sends requests one after the other until quit is closed.
func (l *balancer) sendRequests(caller int) {
	defer l.done.Done()
	for n := 0; ; n++ {
		select {
		case <-l.quit:
			return
		default:
		}
		host, ok := l.pick(caller + n)
		if !ok {
			time.Sleep(checkInterval)
			continue
		}
		d := time.Duration(caller*350+200) * time.Millisecond
		l.record(host, l.request(host, d))
	}
}

// request sends one request and returns an error if the answer is not complete.
func (l *balancer) request(host string, d time.Duration) error {
	resp, err := l.client.Get(fmt.Sprintf("http://%s:80%s?for=%s", host, slowPath, d))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if !strings.HasSuffix(string(body), lastLine) {
		return eris.New("answer truncated: its last line is missing")
	}
	return nil
}

func (l *balancer) record(host string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.completed++
		return
	}
	if l.err == nil {
		l.err = eris.Wrapf(err, "%v after the start, a request through gate %s was interrupted", time.Since(l.bed.started), host)
	}
}

// shutdowns returns a scenario in which the gates are shut down gracefully and
// restarted in turn, under load and while a fault is injected.
func shutdowns(o options, inject fault) prove.Scenario {
	return prove.InVirtualTime(func(seed uint64) error {
		b := newTestbed(seed, o)
		defer b.stop()
		if err := b.start(); err != nil {
			return err
		}
		l := newBalancer(b)
		l.done.Add(1 + callerCount)
		go l.check()
		for i := range callerCount {
			go l.sendRequests(i)
		}
		r := &run{bed: b}
		err := r.runDuring(inject, func() error {
			for _, g := range b.gates {
				r.pause()
				g.shutDown()
				g.start()
			}
			return nil
		})
		close(l.quit)
		l.done.Wait()
		l.client.CloseIdleConnections()
		switch {
		case err != nil:
			return err
		case l.err != nil:
			return l.err
		case l.completed < callerCount:
			return eris.Errorf("only %d requests were answered, too few to check", l.completed)
		}
		return nil
	})
}
