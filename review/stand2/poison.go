package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	poisonPath    = "/pufi791/worst"
	poisonLife    = 3200 * time.Millisecond // from the begin of its run to the end of its runner
	patience      = 150 * time.Millisecond  // after which a requester leaves: half of the objective
	runnerRestart = 2 * time.Second
	poisonPause   = 5500 * time.Millisecond // between two arrivals of the request
	arrivals      = 14
	contactTime   = 3 * time.Second // contact_ms
	mostRetries   = 3               // of BUDGET
)

// poison sends a request that ends each runner that runs it again and again. Its requesters leave before that.
func poison(d *deployment, r *record, trouble bool) (broken bool, err error) {
	if err := d.order(http.MethodPut, "/api/config", newManifest(1, []map[string]any{lookupRoute()}, []map[string]any{lookupService()}), 20*time.Second); err != nil {
		return false, err
	}
	events := filepath.Join(d.dir, "events")
	f := &fleet{d: d, r: r, events: events}
	for i := range 3 { // as many as the booking service of the installation
		if err := f.keep(i); err != nil {
			return false, err
		}
	}
	defer f.stop()
	if err := d.awaitService(r); err != nil {
		return false, err
	}
	wait := timeLimit
	if trouble {
		wait = patience
	}
	var late []string
	for n := range arrivals {
		attempt := fmt.Sprintf("%04x07be2a35f68c", n)
		crashed := f.crashedAt(3)
		counted := !crashed.IsZero() && time.Since(crashed) > contactTime
		began := time.Now()
		a := d.askFor(n%len(d.entries), poisonPath, attempt, wait)
		runs := runsOf(events, attempt)
		r.add("request %s with path %s at %s, which waits for %v: status %d, error %v; reached %d runners", attempt, poisonPath, d.entries[n%len(d.entries)].name, wait, a.status, a.err, runs)
		if counted {
			for range runs {
				late = append(late, attempt)
			}
		}
		time.Sleep(time.Until(began.Add(poisonPause)))
	}
	r.add("it ended %d runners, and reached %d later than %v after it had ended the third: %v", f.crashCount(), len(late), contactTime, late)
	if len(late) > mostRetries {
		r.add("BUDGET is broken: a request that crashes the runners that run it reaches them in more than %d retries", mostRetries)
		return true, nil
	}
	return false, nil
}

// fleet keeps runners running: each that ends is back after some seconds as a new lifetime.
type fleet struct {
	d      *deployment
	r      *record
	events string

	mu      sync.Mutex
	crashes []time.Time
	stopped bool
}

func (f *fleet) keep(i int) error {
	p, err := f.d.startRunner(i, fmt.Sprintf("i-%d-1", i), f.events)
	if err != nil {
		return err
	}
	go func() {
		for life := 2; ; life++ {
			p.wait()
			f.mu.Lock()
			if f.stopped {
				f.mu.Unlock()
				return
			}
			f.crashes = append(f.crashes, time.Now())
			n := len(f.crashes)
			f.mu.Unlock()
			f.r.add("runner i-%d-%d ends, crash %d", i, life-1, n)
			time.Sleep(runnerRestart)
			f.mu.Lock()
			if !f.stopped {
				p, err = f.d.startRunner(i, fmt.Sprintf("i-%d-%d", i, life), f.events)
			}
			f.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return nil
}

func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
}

func (f *fleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes)
}

// crashedAt returns the time of the n-th crash, zero if there were fewer.
func (f *fleet) crashedAt(n int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < n {
		return time.Time{}
	}
	return f.crashes[n-1]
}

// runsOf returns how many runners have begun to run an attempt.
func runsOf(events, attempt string) int {
	return strings.Count(readEvents(events), "begins "+attempt+"\n")
}
