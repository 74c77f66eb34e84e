package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	engineHosts = 6
	orderDelay  = 11 * time.Second // of the late order; 2 to 12 s
	cutFor      = 10 * time.Second // of the head, from the core
	engineModel = "rada7437b5"
)

// joined lets one order to join a group be carried out late, and cuts the head of that group off from the core
// meanwhile. Then a runner of another group leaves as planned.
func joined(d *deployment, r *record, trouble bool) (broken bool, err error) {
	route := map[string]any{
		"name": "r-2yhvz3p", "host": routeHost, "path_prefix": "/lohu930/", "route_type": "streaming", "timeout_ms": 6000, "latency_goal_ms": 300,
		"priority": 1, "service": "huvo11a", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "itl_target_ms": 200,
	}
	service := map[string]any{
		"name": "huvo11a", "health_path": "/healthz", "max_conns": 354, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 28.0,
		"engine": map[string]any{
			"slots": 26, "kv_capacity": 1400000, "kv_bytes": 35136, "link_mbps": 400000.0, "stride": 5, "step_ms": 6.07, "per_seq_ms": 0.241,
			"context_per_k": 0.00488, "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 4.0, "loads_at_once": 6,
			"models": []map[string]any{{"name": engineModel, "size": 2, "share": 1.0, "pace": 0.6, "load_s": loadTime.Seconds(), "warm_s": warmTime.Seconds()}},
			"delays": []any{}, "usual": map[string]any{"prompt": 1076, "answer": 116}, "retained_count": 1, "far_x": 3.0, "form_ms": formTime.Milliseconds(),
		},
	}
	if err := d.order(http.MethodPut, "/api/config", newManifest(1, []map[string]any{route}, []map[string]any{service}), 20*time.Second); err != nil {
		return false, err
	}
	e := newEngines(d, r)
	defer close(e.quit)
	var hosts []*engineHost
	for i := range engineHosts {
		h, err := e.add(i)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
	}
	// The planner joins hosts in the order of their IDs: the second one is no head.
	began := time.Now()
	if trouble {
		e.mu.Lock()
		hosts[1].lateJoin = orderDelay
		e.mu.Unlock()
	}
	if err := e.awaitOpen(engineHosts/2, 20*time.Second); err != nil {
		return false, err
	}
	r.add("%d groups are open after %.1f s", engineHosts/2, time.Since(began).Seconds())
	for n := range 6 {
		a := d.askFor(n%len(d.entries), "/lohu930/2f", fmt.Sprintf("9c41d07be2a35f%02x", n), timeLimit)
		r.add("request at %s: status %d, %d bytes, %v", d.entries[n%len(d.entries)].name, a.status, len(a.body), a.err)
	}
	if trouble {
		e.setCut(hosts[0], true)
		time.AfterFunc(cutFor, func() { e.setCut(hosts[0], false) })
	}
	time.Sleep(time.Until(began.Add(orderDelay + 1500*time.Millisecond)))
	e.mu.Lock()
	hosts[5].state = "draining"
	hosts[5].report()
	e.mu.Unlock()
	r.add("%s announces that it leaves", hosts[5].id)
	time.Sleep(8 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, what := range e.twice {
		r.add("TWO is broken: %s", what)
	}
	return len(e.twice) > 0, nil
}

// setCut cuts a host off from the core, or ends that.
func (e *engines) setCut(h *engineHost, cutOff bool) {
	e.mu.Lock()
	h.cutOff = cutOff
	h.report()
	e.mu.Unlock()
	e.r.add("%s is cut off from the core: %v", h.id, cutOff)
}

// awaitOpen waits until a number of groups are open.
func (e *engines) awaitOpen(n int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		open := 0
		e.mu.Lock()
		for _, h := range e.hosts {
			if h.seat != nil && h.seat.State == "open" {
				open++
			}
		}
		e.mu.Unlock()
		if open >= n {
			return nil
		}
	}
	return errors.New("the groups do not open")
}
