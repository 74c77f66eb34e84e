package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	turnedPath   = "/lohu930/worst"
	turnedFile   = "turned"
	turnedEvents = 27                     // of route-brief
	turnedPause  = 40 * time.Millisecond  // between events
	turnedLife   = 400 * time.Millisecond // of a run that ends its runner, from its first event
	turnedEvery  = 2 * time.Second        // between two arrivals of the request
	soundFor     = 6 * time.Second        // before it turns bad
	badFor       = 26 * time.Second
	streamLimit  = 8 * time.Second // time limit of route-brief
)

// turned sends a request again and again that runners serve at first. From some moment on it ends each runner that
// runs it, 0.4 s after its answer began.
func turned(d *deployment, r *record, trouble bool) (broken bool, err error) {
	route := map[string]any{
		"name": "r-2yhvz3p", "host": routeHost, "path_prefix": "/lohu930/", "route_type": "streaming", "timeout_ms": streamLimit.Milliseconds(), "latency_goal_ms": 500,
		"priority": 1, "service": "wuno96b", "max_attempts": 2, "public": false, "sticky": false, "resumable": true, "itl_target_ms": 300,
	}
	if err := d.order(http.MethodPut, "/api/config", newManifest(1, []map[string]any{route, lookupRoute()}, []map[string]any{lookupService()}), 20*time.Second); err != nil {
		return false, err
	}
	events := filepath.Join(d.dir, "events")
	f := &fleet{d: d, r: r, events: events}
	for i := range 6 {
		if err := f.keep(i); err != nil {
			return false, err
		}
	}
	defer f.stop()
	if err := d.awaitService(r); err != nil {
		return false, err
	}
	began := time.Now()
	bad := false
	var asking sync.WaitGroup
	var mu sync.Mutex
	var late []string
	for n := 0; time.Since(began) < soundFor+badFor; n++ {
		if trouble && !bad && time.Since(began) >= soundFor {
			bad = true
			if err := os.WriteFile(filepath.Join(d.dir, turnedFile), nil, 0o600); err != nil {
				return false, err
			}
			r.add("from now on the request ends each runner that runs it")
		}
		attempt := fmt.Sprintf("%04x07be2a35f68c", n)
		crashed := f.crashedAt(3)
		counted := !crashed.IsZero() && time.Since(crashed) > contactTime
		asking.Go(func() {
			a := d.askFor(n%len(d.entries), turnedPath, attempt, streamLimit)
			runs := runsOf(events, attempt)
			r.add("request %s at %s: status %d, %d of %d events, error %v; reached %d runners", attempt, d.entries[n%len(d.entries)].name, a.status,
				strings.Count(a.body, "id: "), turnedEvents, a.err, runs)
			mu.Lock()
			defer mu.Unlock()
			for range runs {
				if counted {
					late = append(late, attempt)
				}
			}
		})
		time.Sleep(turnedEvery)
	}
	asking.Wait()
	r.add("it ended %d runners, and reached %d later than %v after it had ended the third: %v", f.crashCount(), len(late), contactTime, late)
	if len(late) > mostRetries {
		r.add("BUDGET is broken: a request that crashes the runners that run it reaches them in more than %d retries", mostRetries)
		return true, nil
	}
	return false, nil
}
