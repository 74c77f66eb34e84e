package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	answerSize  = 800                    // bytes, of cart-lookup
	answerPause = 400 * time.Millisecond // between the halves of an answer
	timeLimit   = 4 * time.Second        // of cart-lookup
	freezeTime  = 3 * time.Second        // of the machine of an entry host
	downTime    = 2 * time.Second        // of the runner
)

// truncated freezes an entry host while it receives an answer without a length. Meanwhile the runner crashes in
// the middle of that answer, and is back before the entry host goes on.
func truncated(d *deployment, r *record, trouble bool) (broken bool, err error) {
	if err := d.order(http.MethodPut, "/api/config", newManifest(1, []map[string]any{lookupRoute()}, []map[string]any{lookupService()}), 20*time.Second); err != nil {
		return false, err
	}
	events := filepath.Join(d.dir, "events")
	var runners []*process
	for i := range 3 {
		p, err := d.startRunner(i, fmt.Sprintf("i-%d-1", i), events)
		if err != nil {
			return false, err
		}
		runners = append(runners, p)
	}
	if err := d.awaitService(r); err != nil {
		return false, err
	}
	for n := range 5 {
		broke, err := d.truncateOnce(r, n, runners, events, trouble)
		if err != nil {
			return false, err
		}
		broken = broken || broke
	}
	return broken, nil
}

// lookupRoute is the route of cart-lookup.
func lookupRoute() map[string]any {
	return map[string]any{
		"name": "r-fi6y7z5", "host": routeHost, "path_prefix": "/pufi791/", "route_type": "idempotent", "timeout_ms": timeLimit.Milliseconds(),
		"latency_goal_ms": 300, "priority": 2, "service": "wuno96b", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
	}
}

func lookupService() map[string]any {
	return map[string]any{"name": "wuno96b", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0}
}

// startRunner starts runner i as a new lifetime with an ID.
func (d *deployment) startRunner(i int, id, events string) (*process, error) {
	var coordinators []string
	for k := range d.coordinators {
		coordinators = append(coordinators, d.coordinatorAddress(k))
	}
	p, err := d.newProcess("runner-"+id, []string{
		os.Args[0], "runner", "-id", id, "-service", "wuno96b", "-zone", zones[i%len(zones)], "-address", fmt.Sprintf("127.0.9.%d:%d", 70+i, d.port),
		"-coordinators", strings.Join(coordinators, ","), "-events", events, "-size", fmt.Sprint(answerSize), "-pause", answerPause.String(),
		"-turned", filepath.Join(d.dir, turnedFile),
	})
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others = append(d.others, p)
	return p, p.start()
}

// awaitService waits until each entry host serves a request.
func (d *deployment) awaitService(r *record) error {
	end := time.Now().Add(20 * time.Second)
	for i := range d.entries {
		for n := 0; ; n++ {
			if a := d.ask(i, fmt.Sprintf("first-%d-%d", i, n)); a.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return errors.New("no request is served")
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	r.add("all entry hosts serve")
	return nil
}

// answer is what a client got.
type answer struct {
	status    int
	signature string
	body      string
	err       error
}

// ask sends a request to entry host i.
func (d *deployment) ask(i int, attempt string) answer {
	return d.askFor(i, "/pufi791/2f", attempt, timeLimit)
}

// askFor sends a request to entry host i on a new connection. The requester leaves after a time.
func (d *deployment) askFor(i int, path, attempt string, patience time.Duration) answer {
	req, err := http.NewRequest(http.MethodGet, "http://"+d.entryAddress(i)+path, nil)
	if err != nil {
		return answer{err: err}
	}
	req.Host = routeHost
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+clientKey)
	req.Header.Set("X-Model", engineModel) // of the routes that carry it
	req.Header.Set("X-Token-Counts", "1460,80")
	req.Header.Set("X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{}).DialContext}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(body), err}
}

func (d *deployment) truncateOnce(r *record, n int, runners []*process, events string, trouble bool) (broken bool, err error) {
	attempt := fmt.Sprintf("9c41d07be2a3%04x", n)
	entry := n % len(d.entries)
	answered := make(chan answer, 1)
	r.add("request %s is sent to %s", attempt, d.entries[entry].name)
	go func() { answered <- d.ask(entry, attempt) }()
	id, err := awaitEvent(events, "half "+attempt)
	if err != nil {
		return false, err
	}
	r.add("runner %s has sent half of its answer to %s", id, attempt)
	if trouble {
		time.Sleep(50 * time.Millisecond) // the entry host has received it
		var i, life int
		if _, err := fmt.Sscanf(id, "i-%d-%d", &i, &life); err != nil {
			return false, err
		}
		d.entries[entry].signal(syscall.SIGSTOP)
		r.add("%s is frozen", d.entries[entry].name)
		time.Sleep(100 * time.Millisecond)
		runners[i].end(syscall.SIGKILL)
		r.add("runner %s crashes", id)
		time.Sleep(downTime)
		if runners[i], err = d.startRunner(i, fmt.Sprintf("i-%d-%d", i, life+1), events); err != nil {
			return false, err
		}
		r.add("runner %s is back as i-%d-%d", id, i, life+1)
		time.Sleep(freezeTime - downTime - 100*time.Millisecond)
		d.entries[entry].signal(syscall.SIGCONT)
		r.add("%s goes on", d.entries[entry].name)
	}
	a := <-answered
	whole := answerBody(attempt, answerSize)
	r.add("answer to %s: status %d, signature %q, %d bytes of %d, whole %v, error %v", attempt, a.status, a.signature, len(a.body), len(whole), a.body == whole, a.err)
	if a.err == nil && a.status == http.StatusOK && a.body != whole {
		r.add("MIXED is broken: a success that looks complete has not the runner's whole body")
		broken = true
	}
	time.Sleep(2 * time.Second)
	return broken, nil
}

// awaitEvent waits until a runner has written an event and returns the runner's ID.
func awaitEvent(events, what string) (id string, err error) {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for line := range strings.Lines(readEvents(events)) {
			if id, rest, ok := strings.Cut(strings.TrimSpace(line), " "); ok && rest == what {
				return id, nil
			}
		}
	}
	return "", fmt.Errorf("no runner reports: %s", what)
}

// readEvents returns what the runners have written.
func readEvents(events string) string {
	raw, _ := os.ReadFile(events) // none is there before the first one is written
	return string(raw)
}
