package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Operator sends orders as the pages say: to one node, and after a failure, a 5xx or a second without an
// answer to the next one, with increasing pauses, for ack_ms at most.
type Operator struct {
	Deployment *Deployment
	Record     *Record
}

// ackTime is ack_ms of the site.
const ackTime = 4 * time.Second

// Send sends an order, first to the node first, and returns when it was acknowledged.
func (o *Operator) Send(method, path, body string, first *Process) (time.Time, error) {
	nodes := []*Process{first}
	for _, p := range o.Deployment.Cores {
		if p != first {
			nodes = append(nodes, p)
		}
	}
	pause := 100 * time.Millisecond
	for began, i := time.Now(), 0; time.Since(began) < ackTime; i++ {
		p := nodes[i%len(nodes)]
		if i > 0 && p == first && len(nodes) > 1 {
			continue // it moves on to another node
		}
		status, err := o.once(method, path, body, p)
		o.Record.Say("operator: %s %s at %s: %d %v", method, path, p.Name, status, err)
		if status == http.StatusOK {
			return time.Now(), nil
		}
		time.Sleep(pause)
		pause *= 2
	}
	return time.Time{}, fmt.Errorf("no acknowledgement of %s %s within %v", method, path, ackTime)
}

func (o *Operator) once(method, path, body string, p *Process) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.Deployment.CoreAddress(p)+path, reader)
	if err != nil {
		return 0, err
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
