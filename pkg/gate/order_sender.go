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
	// orderQueue limits the orders that wait for delivery.
	orderQueue = 1_024
	// orderWorkers limits the orders delivered concurrently.
	orderWorkers = 8
	// orderTimeout limits the delivery of one order.
	orderTimeout = time.Second
	// maxResults limits the results that wait for the next sync.
	maxResults = 4_096
)

var (
	// ErrOrderExpired reports that an order was not sent because its deadline had passed.
	ErrOrderExpired = eris.New("order expired before it was sent")
	// ErrOrderRefused reports that the engine refused the order.
	ErrOrderRefused = eris.New("engine refused the order")
)

// orderSender delivers orders to engines, each at most once and only before its deadline.
type orderSender struct {
	clock  clock.Clock
	client *http.Client
	events Events
	logger *log.Logger
	queue  chan timedOrder

	mu             sync.Mutex
	pendingResults []control.OrderResult
}

func newOrderSender(c clock.Clock, client *http.Client, events Events, logger *log.Logger) *orderSender {
	return &orderSender{
		clock:  c,
		client: client,
		events: events,
		logger: logger,
		queue:  make(chan timedOrder, orderQueue),
	}
}

// enqueue queues an order. If the queue is full, the order fails, and the leader issues it
// again.
func (s *orderSender) enqueue(o timedOrder) {
	select {
	case s.queue <- o:
	default:
		s.recordResult(o.order, eris.New("order queue is full"))
	}
}

// run delivers queued orders until ctx ends.
func (s *orderSender) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range orderWorkers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			s.work(ctx)
		}()
	}
	workers.Wait()
}

func (s *orderSender) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.queue:
			s.recordResult(o.order, s.deliver(ctx, o))
		}
	}
}

// deliver sends one order, without retries.
func (s *orderSender) deliver(ctx context.Context, o timedOrder) error {
	body, err := json.Marshal(o.order)
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	left := o.deadline.Sub(s.clock.Now())
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
	resp, err := s.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "send order")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Wrap(ErrOrderRefused, fmt.Sprintf("status %d", resp.StatusCode))
	}
	return nil
}

func (s *orderSender) recordResult(o order.Order, err error) {
	s.events.OrderDelivered(o, err)
	r := control.OrderResult{Host: o.Host, Fence: o.Fence}
	if err != nil {
		r.Error = err.Error()
		s.logger.Warn("order not delivered", "host", o.Host, "group", o.Group, "fence", o.Fence, "err", err)
	}
	s.requeueResults([]control.OrderResult{r})
}

// takeResults removes and returns the results to send with the next sync.
func (s *orderSender) takeResults() []control.OrderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.pendingResults
	s.pendingResults = nil
	return out
}

// requeueResults adds results that have not been sent to the leader. Above maxResults, the
// oldest are dropped, as the leader treats an order without a result as expired.
func (s *orderSender) requeueResults(results []control.OrderResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingResults = append(s.pendingResults, results...)
	if over := len(s.pendingResults) - maxResults; over > 0 {
		s.pendingResults = s.pendingResults[over:]
	}
}
