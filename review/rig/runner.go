package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Run is one run of a request at a runner.
type Run struct {
	Attempt string
	At      time.Time
}

// Runner is a runner of a plain service.
type Runner struct {
	ID, Service, Zone string
	Work              time.Duration // of one request
	Slots             int
	// Serve answers a request in place of the usual answer; nil: none.
	Serve func(w http.ResponseWriter, req *http.Request, body []byte)

	deployment *Deployment
	record     *Record
	listener   net.Listener
	server     *http.Server
	born       int64
	beat       chan struct{} // a heartbeat is due
	quit       context.CancelFunc

	mu        sync.Mutex
	sequence  int
	draining  bool
	coldUntil time.Time
	runs      []Run
}

// StartRunner starts a runner, which registers itself each 1.2 s.
func (d *Deployment) StartRunner(r *Runner) error {
	l, err := net.Listen("tcp", "127.31.4.1:0")
	if err != nil {
		return err
	}
	r.deployment, r.record, r.listener, r.born = d, d.record, l, time.Now().UnixMilli()
	r.beat = make(chan struct{}, 1)
	r.server = &http.Server{Handler: r, IdleTimeout: 15 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	ctx, quit := context.WithCancel(context.Background())
	r.quit = quit
	go r.register(ctx)
	return nil
}

// Stop ends the runner.
func (r *Runner) Stop() {
	r.quit()
	_ = r.server.Close()
}

// Drain reports that the runner drains, which it goes on to report.
func (r *Runner) Drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.beat <- struct{}{}
}

// Leave reports that the runner drains, serves for three seconds more, deregisters it and ends it.
func (r *Runner) Leave() {
	r.Drain()
	time.Sleep(Drain + time.Second)
	r.quit()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, p := range r.deployment.Cores {
		req, err := http.NewRequest(http.MethodDelete, "http://"+r.deployment.CoreAddress(p)+"/api/instances/"+r.ID, nil)
		if err != nil {
			break
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			break
		}
	}
	_ = r.server.Close()
}

// register sends heartbeats. After a failure the next node is called.
func (r *Runner) register(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	node := 0
	for ctx.Err() == nil {
		r.mu.Lock()
		r.sequence++
		state := "ready"
		if r.draining {
			state = "draining"
		}
		body, err := json.Marshal(map[string]any{
			"service": r.Service, "address": r.listener.Addr().String(), "zone": r.Zone, "version": "v1", "slots": r.Slots,
			"state": state, "warmup_left_ms": r.coldMS(), "sequence": r.sequence, "born": r.born,
		})
		r.mu.Unlock()
		if err != nil {
			return
		}
		address := r.deployment.CoreAddress(r.deployment.Cores[node%len(r.deployment.Cores)])
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/api/instances/"+r.ID, bytes.NewReader(body))
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		wait := 1200 * time.Millisecond
		if err != nil || resp.StatusCode != http.StatusOK {
			node++
			wait = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-r.beat:
		case <-time.After(wait):
		}
	}
}

// BecomeCold makes the runner cold for some time, which it tells with a heartbeat.
func (r *Runner) BecomeCold(d time.Duration) {
	r.mu.Lock()
	r.coldUntil = time.Now().Add(d)
	r.mu.Unlock()
	r.beat <- struct{}{}
}

// coldMS returns how much longer the runner is cold. The caller holds the lock.
func (r *Runner) coldMS() int64 { return max(time.Until(r.coldUntil), 0).Milliseconds() }

// EndWithParent ends this process, that of a runner, when the pipe to its standard input is closed.
func EndWithParent() {
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
}

// ServeHTTP runs a request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	at := time.Now()
	attempt := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Instance-Id", r.ID)
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/healthz" {
		r.mu.Lock()
		w.Header().Set("X-Warmup-Ms", fmt.Sprint(r.coldMS()))
		r.mu.Unlock()
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, Run{Attempt: attempt, At: at})
	r.mu.Unlock()
	r.record.Line("run %s at %s in %s", attempt, r.ID, r.Zone)
	if r.Serve != nil {
		w.Header().Set("X-Response-Signature", "sig-"+attempt)
		r.Serve(w, req, body)
		return
	}
	time.Sleep(r.Work)
	w.Header().Set("X-Response-Signature", "sig-"+attempt)
	_, _ = fmt.Fprintf(w, "answer to %s, %d bytes, by %s", attempt, len(body), r.ID)
}

// Runs returns the runs that began in a span.
func (r *Runner) Runs(from, to time.Time) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Run
	for _, run := range r.runs {
		if !run.At.Before(from) && run.At.Before(to) {
			found = append(found, run)
		}
	}
	return found
}
