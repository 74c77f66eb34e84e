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
	// lastLine ends a whole answer.
	lastLine = "end"
	// callerCount callers ask one after the other.
	callerCount = 12
	// checkInterval is the time between two looks of the balancer.
	checkInterval = 100 * time.Millisecond
)

// slowAnswer sends a line every 100 ms for as long as it is asked to, and the
// last line.
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

// balancer sends callers to gates that say that they are ready.
type balancer struct {
	bed    *bed
	client *http.Client

	mu    sync.Mutex
	ready []bool
	quit  chan struct{}
	done  sync.WaitGroup
	err   error
	whole int
}

func newBalancer(b *bed) *balancer {
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

// check asks each gate for its health until the end.
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
		case <-time.After(max(l.bed.options.look, checkInterval)):
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

// pick returns a gate that was ready at the last look.
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

// ask sends one request after the other.
func (l *balancer) ask(caller int) {
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
		l.note(host, l.one(host, d))
	}
}

// one asks once and returns what was wrong with the answer.
func (l *balancer) one(host string, d time.Duration) error {
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
		return eris.New("the answer ends early")
	}
	return nil
}

func (l *balancer) note(host string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.whole++
		return
	}
	if l.err == nil {
		l.err = eris.Wrapf(err, "%v after the start a request through %s was cut off", time.Since(l.bed.started), host)
	}
}

// shutdowns returns a scenario in which gates shut down one after the other
// under load and are started again.
func shutdowns(o options, strike fault) prove.Scenario {
	return prove.InVirtualTime(func(seed uint64) error {
		b := newBed(seed, o)
		defer b.stop()
		if err := b.start(); err != nil {
			return err
		}
		l := newBalancer(b)
		l.done.Add(1 + callerCount)
		go l.check()
		for i := range callerCount {
			go l.ask(i)
		}
		r := &run{bed: b}
		err := r.during(strike, func() error {
			for _, g := range b.gates {
				r.pause()
				g.end()
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
		case l.whole < callerCount:
			return eris.Errorf("only %d requests were answered", l.whole)
		}
		return nil
	})
}
