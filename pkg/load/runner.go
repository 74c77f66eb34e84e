package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/ledger"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

const (
	requestHeader = "X-Request-Id"
	resendPause   = 200 * time.Millisecond // where a refusal gives no advice
	maxResendWait = 5 * time.Second
)

// Runner sends one load.
type Runner struct {
	options Options
	checker Checker
	client  *client
	figures *figures
	ledger  ledger.Ledger

	mu         sync.Mutex
	violations []ledger.Violation
}

// New returns a runner. A nil checker takes any answer.
func New(o Options, c Checker) (*Runner, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if c == nil {
		c = AcceptAnyAnswer{}
	}
	r := &Runner{options: o, checker: c, figures: newFigures()}
	r.client = newClient(&r.options)
	return r, nil
}

// Run sends the load, waits for all answers and returns the report. When the
// context ends no more requests are sent.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	started := time.Now()
	var work sync.WaitGroup
	slots := make(chan struct{}, r.options.MaxInFlight)
	drawn := newArrivals(&r.options)
	for x, more := drawn.draw(); more && wait(ctx, time.Until(started.Add(x.due))); x, more = drawn.draw() {
		select {
		case slots <- struct{}{}:
		default:
			r.figures.countNotSent()
			continue
		}
		work.Add(1)
		go func() {
			defer work.Done()
			defer func() { <-slots }()
			r.serve(x, started.Add(x.due))
		}()
	}
	work.Wait()
	took := time.Since(started)
	r.client.http.CloseIdleConnections()
	r.checkOnce(ctx)
	return r.report(started, took), nil
}

// wait returns false if the context ends first.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serve sends one request until it is answered or its resends are used up.
func (r *Runner) serve(x arrival, due time.Time) {
	if x.kind != kindOnce {
		r.figures.end(x, due, r.chat(x))
		return
	}
	var twin sync.WaitGroup
	if x.duplicate {
		twin.Add(1)
		go func() {
			defer twin.Done()
			r.once(x, 1)
		}()
	}
	r.figures.end(x, due, r.once(x, 0))
	twin.Wait()
}

// gate returns the gate for a send.
func (r *Runner) gate(x arrival, send int) string {
	return r.options.Gates[(x.gate+send)%len(r.options.Gates)]
}

// chat sends a chat, again where it is known not to have run.
func (r *Runner) chat(x arrival) answer {
	for send := 0; ; send++ {
		ctx, cancel := context.WithTimeout(context.Background(), r.options.Timeout)
		a := r.client.chat(ctx, x, r.gate(x, send))
		cancel()
		if a.done() {
			r.checkChat(x, a)
			return a
		}
		if a.outcome != outcome.NotRun || send >= r.options.Resends {
			return a
		}
		r.pause(a)
	}
}

// once sends a once-only call, again until its outcome is told.
func (r *Runner) once(x arrival, first int) answer {
	for send := 0; ; send++ {
		a := r.sendOnce(x, first, send)
		if a.done() || send >= r.options.Resends {
			return a
		}
		r.pause(a)
	}
}

// sendOnce sends a once-only call once and keeps it in the ledger.
func (r *Runner) sendOnce(x arrival, first, send int) answer {
	gate := r.gate(x, first+send)
	e := ledger.Entry{
		Request:      fmt.Sprintf("%s.%d.%d", x.key, first, send),
		Organisation: x.organisation.Name,
		Service:      r.options.Service,
		Key:          x.key,
		Content:      x.content,
		Gate:         gate,
		Sent:         time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Timeout)
	defer cancel()
	a := r.client.once(ctx, x, gate, e.Request)
	if a.status != 0 {
		e.Returned = a.ended
		e.Status = a.status
		e.Outcome = a.outcome
		e.Reason = a.reason
		e.Replayed = a.replayed
		if a.whole {
			e.Body = a.text
		}
	}
	r.ledger.Add(e)
	return a
}

func (r *Runner) pause(a answer) {
	r.figures.countResent()
	d := a.retryAfter
	if d == 0 {
		d = resendPause
	}
	time.Sleep(min(d, maxResendWait))
}

// checkChat compares a whole answer with what was asked for.
func (r *Runner) checkChat(x arrival, a answer) {
	want := r.checker.ExpectedText(r.client.request(x), a.fingerprint)
	if _, any := r.checker.(AcceptAnyAnswer); any || a.text == want {
		return
	}
	r.violate(ledger.Violation{
		Rule:   ledger.RuleOwnAnswer,
		Key:    fmt.Sprint(x.number),
		Detail: fmt.Sprintf("got %q, want %q by %s", clip(a.text), clip(want), a.fingerprint),
	})
}

func (r *Runner) violate(v ...ledger.Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, v...)
}

// clipLength bounds texts in violations, in bytes.
const clipLength = 80

func clip(s string) string {
	if len(s) <= clipLength {
		return s
	}
	return s[:clipLength] + "..."
}
