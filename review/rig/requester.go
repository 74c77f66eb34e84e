package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Key is the API key of the tenant.
const Key = "n2ctnfzs989anu6wsjnb"

// Requesters send requests at a steady rate to the entry hosts in turn.
type Requesters struct {
	Deployment *Deployment
	Record     *Record
	Method     string
	Path       string
	Body       string
	LimitMS    int

	sent     atomic.Int64
	answered sync.Map // status by attempt
	sentAt   sync.Map // time by attempt
	quit     context.CancelFunc
	work     sync.WaitGroup
}

// Start begins to send.
func (q *Requesters) Start(perSecond int) {
	ctx, quit := context.WithCancel(context.Background())
	q.quit = quit
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50, IdleConnTimeout: 10 * time.Second}}
	q.work.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			n := q.sent.Add(1)
			entry := q.Deployment.Entries[int(n)%len(q.Deployment.Entries)]
			q.work.Go(func() { q.send(client, entry, n) })
		}
	})
}

func (q *Requesters) send(client *http.Client, entry *Process, n int64) {
	attempt := fmt.Sprintf("%016x", n)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(q.LimitMS)*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+q.Deployment.EntryAddress(entry)+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return
	}
	req.Host = "shop.example"
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(q.LimitMS))
	req.Header.Set("Authorization", "Bearer "+Key)
	q.sentAt.Store(attempt, time.Now())
	q.Record.Line("sent %s to %s", attempt, entry.Name)
	resp, err := client.Do(req)
	if err != nil {
		q.answered.Store(attempt, 0)
		q.Record.Line("answer %s: %v", attempt, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	q.answered.Store(attempt, resp.StatusCode)
	q.Record.Line("answer %s: %d %q %v", attempt, resp.StatusCode, body, err)
}

// SentAt returns when an attempt was sent.
func (q *Requesters) SentAt(attempt string) time.Time {
	at, _ := q.sentAt.Load(attempt)
	sent, _ := at.(time.Time)
	return sent
}

// Served returns how many requests got a success.
func (q *Requesters) Served() int {
	n := 0
	q.answered.Range(func(_, status any) bool {
		if status == http.StatusOK {
			n++
		}
		return true
	})
	return n
}

// Stop ends the requests.
func (q *Requesters) Stop() {
	q.quit()
	q.work.Wait()
}
