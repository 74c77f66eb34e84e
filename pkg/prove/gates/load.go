package gates

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// errFalseNotRun is returned if a request ran that was refused as not run.
var errFalseNotRun = eris.New("request refused as not run, but an engine started it")

// load is a set of requests and their replies.
type load struct {
	world *world
	wg    sync.WaitGroup

	mu       sync.Mutex
	replies  []reply
	requests []request
	errs     []error
}

func (w *world) newLoad() *load { return &load{world: w} }

// ask sends a request in the background after a delay.
func (l *load) ask(after time.Duration, g *gate, q request) {
	if q.prompt == "" {
		l.mu.Lock()
		q.prompt = fmt.Sprintf("question %d", len(l.requests))
		l.mu.Unlock()
	}
	l.mu.Lock()
	i := len(l.requests)
	l.requests = append(l.requests, q)
	l.replies = append(l.replies, reply{})
	l.mu.Unlock()
	l.wg.Add(1)
	l.world.spawn(func() {
		defer l.wg.Done()
		time.Sleep(after)
		r, err := l.world.ask(g, q)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.replies[i] = r
		if err != nil {
			l.errs = append(l.errs, err)
		}
	})
}

// wait waits for all replies. It returns an error unless each answer is its caller's own
// and each refusal is truthful.
func (l *load) wait() error {
	l.wg.Wait()
	for i, r := range l.replies {
		if r.refusal != nil && r.refusal.Outcome == outcome.NotRun && l.world.ledger.ran(l.requests[i].promptText()) {
			l.errs = append(l.errs, eris.Wrapf(errFalseNotRun, "%q: %s", l.requests[i].prompt, r.refusal.Message))
		}
	}
	return errors.Join(l.errs...)
}

// completeCount returns the number of complete answers.
func (l *load) completeCount() int {
	n := 0
	for _, r := range l.replies {
		if r.complete {
			n++
		}
	}
	return n
}

// checkAllComplete returns an error unless every caller got its complete answer.
func (l *load) checkAllComplete() error {
	for i, r := range l.replies {
		if !r.complete {
			return eris.Errorf("request %q got no complete answer: refusal %+v, error %v", l.requests[i].prompt, r.refusal, r.err)
		}
	}
	return nil
}
