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
	evacuateTime = 5 * time.Second // evacuate_ms
	cutTime      = 3 * time.Second // of the path between the operator and one machine
	requestPause = 40 * time.Millisecond
)

// evacuation cuts the path of the operator to one machine while the operator withdraws an evacuation. The operator
// sends that again to another machine, and then evacuates the zone again. Then the cut ends.
func evacuation(d *deployment, r *record, trouble bool) (broken bool, err error) {
	if err := d.order(http.MethodPut, "/api/config", newManifest(1, []map[string]any{lookupRoute()}, []map[string]any{lookupService()}), 20*time.Second); err != nil {
		return false, err
	}
	events := filepath.Join(d.dir, "events")
	for i := range 3 {
		if _, err := d.startRunner(i, fmt.Sprintf("i-%d-1", i), events); err != nil {
			return false, err
		}
	}
	if err := d.awaitService(r); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var asking sync.WaitGroup
	asking.Go(func() { d.askSteadily(stop) })
	defer asking.Wait()
	defer close(stop)
	for n := range 3 {
		broke, err := d.evacuateOnce(r, n, events, trouble)
		if err != nil {
			return false, err
		}
		broken = broken || broke
	}
	return broken, nil
}

// askSteadily sends requests to all entry hosts in turn.
func (d *deployment) askSteadily(stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(requestPause):
			go d.ask(n%len(d.entries), fmt.Sprintf("s-%d", n))
		}
	}
}

func (d *deployment) evacuateOnce(r *record, n int, events string, trouble bool) (broken bool, err error) {
	zone := zones[n%len(zones)]
	path := "/api/evacuations/" + zone
	if err := d.acknowledged(r, http.MethodPost, path); err != nil {
		return false, err
	}
	time.Sleep(evacuateTime + time.Second)
	k, err := newLink(fmt.Sprintf("127.0.9.100:%d", d.port), d.coordinatorAddress(n%len(d.coordinators)))
	if err != nil {
		return false, err
	}
	defer k.close()
	began := time.Now()
	if trouble {
		k.cut()
		r.add("the path of the operator to %s is cut", d.coordinators[n%len(d.coordinators)].name)
		status, err := call(http.MethodDelete, k.address(), path, nil)
		r.add("DELETE %s over that path: status %d, %v; the operator closes the connection and moves on", path, status, err)
	}
	if err := d.acknowledged(r, http.MethodDelete, path); err != nil {
		return false, err
	}
	if err := d.acknowledged(r, http.MethodPost, path); err != nil {
		return false, err
	}
	evacuated := time.Now()
	if trouble {
		time.Sleep(time.Until(began.Add(cutTime)))
		k.heal()
		r.add("the cut is over after %.1f s", time.Since(began).Seconds())
	}
	time.Sleep(time.Until(evacuated.Add(evacuateTime)))
	before := countRuns(events, zone)
	time.Sleep(4 * time.Second)
	late := countRuns(events, zone) - before
	r.add("requests that reached runners in %s from %v to %.1f s after the evacuation was acknowledged: %d", zone, evacuateTime, time.Since(evacuated).Seconds(), late)
	if late > 0 {
		r.add("EVAC is broken: the evacuation was not taken back since")
	}
	return late > 0, d.acknowledged(r, http.MethodDelete, path)
}

// acknowledged sends an order and records its acknowledgement.
func (d *deployment) acknowledged(r *record, method, path string) error {
	err := d.order(method, path, nil, 4*time.Second)
	if err == nil {
		r.add("%s %s is acknowledged", method, path)
	}
	return err
}

// countRuns returns how many requests began to run in a zone.
func countRuns(events, zone string) int {
	n := 0
	for line := range strings.Lines(readEvents(events)) {
		if id, rest, ok := strings.Cut(line, " "); ok && strings.HasPrefix(rest, "begins ") && zoneOf(id) == zone {
			n++
		}
	}
	return n
}

// zoneOf returns the zone of a runner that startRunner started.
func zoneOf(id string) string {
	var i, life int
	if _, err := fmt.Sscanf(id, "i-%d-%d", &i, &life); err != nil {
		return ""
	}
	return zones[i%len(zones)]
}
