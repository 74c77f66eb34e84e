package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/edge/order"
)

const (
	// orderQueue bounds the orders that wait for delivery.
	orderQueue = 1_024
	// orderWorkers bounds the orders that are delivered at the same time.
	orderWorkers = 8
	// orderTimeout bounds one delivery.
	orderTimeout = time.Second
	// maxResults bounds the results that wait for the next sync.
	maxResults = 4_096
)

var (
	// ErrOrderExpired says that an order was not sent because its time was up.
	ErrOrderExpired = eris.New("order expired before it was sent")
	// ErrOrderRefused says that the engine refused the order.
	ErrOrderRefused = eris.New("engine refused the order")
)

// courier delivers orders to engines, each before its deadline or not at all.
type courier struct {
	clock  clock.Clock
	client *http.Client
	events Events
	logger *log.Logger
	queue  chan timedOrder

	mu   sync.Mutex
	done []control.OrderResult
}

func newCourier(c clock.Clock, client *http.Client, events Events, logger *log.Logger) *courier {
	return &courier{
		clock:  c,
		client: client,
		events: events,
		logger: logger,
		queue:  make(chan timedOrder, orderQueue),
	}
}

// take queues an order; one that finds no room is ordered again by the leader.
func (c *courier) take(o timedOrder) {
	select {
	case c.queue <- o:
	default:
		c.finish(o.order, eris.New("order queue is full"))
	}
}

// run delivers orders until ctx ends.
func (c *courier) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range orderWorkers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			c.work(ctx)
		}()
	}
	workers.Wait()
}

func (c *courier) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-c.queue:
			c.finish(o.order, c.deliver(ctx, o))
		}
	}
}

// deliver sends one order, once.
func (c *courier) deliver(ctx context.Context, o timedOrder) error {
	body, err := json.Marshal(o.order)
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	left := o.deadline.Sub(c.clock.Now())
	if left <= 0 {
		return ErrOrderExpired
	}
	ctx, cancel := context.WithTimeout(ctx, min(left, orderTimeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.order.Address+order.Path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build order")
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "send order")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Wrap(ErrOrderRefused, fmt.Sprintf("status %d", resp.StatusCode))
	}
	return nil
}

func (c *courier) finish(o order.Order, err error) {
	c.events.OrderDelivered(o, err)
	r := control.OrderResult{Host: o.Host, Fence: o.Fence}
	if err != nil {
		r.Error = err.Error()
		c.logger.Warn("order not delivered", "host", o.Host, "group", o.Group, "fence", o.Fence, "err", err)
	}
	c.putBack([]control.OrderResult{r})
}

// results returns the results for the next sync.
func (c *courier) results() []control.OrderResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.done
	c.done = nil
	return out
}

// putBack keeps results that were not told. The oldest give way: the leader
// takes an order without a result as expired.
func (c *courier) putBack(results []control.OrderResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = append(c.done, results...)
	if over := len(c.done) - maxResults; over > 0 {
		c.done = c.done[over:]
	}
}
