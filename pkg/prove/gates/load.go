package gates

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// errFalseNotRun says that a refused request ran though the refusal denied it.
var errFalseNotRun = eris.New("refusal said not run, but an engine began the request")

// load is a set of callers.
type load struct {
	world *world
	wg    sync.WaitGroup

	mu      sync.Mutex
	replies []reply
	asked   []question
	errs    []error
}

func (w *world) newLoad() *load { return &load{world: w} }

// ask sends a request after a while, in the background.
func (l *load) ask(after time.Duration, g *gate, q question) {
	if q.prompt == "" {
		l.mu.Lock()
		q.prompt = fmt.Sprintf("question %d", len(l.asked))
		l.mu.Unlock()
	}
	l.mu.Lock()
	i := len(l.asked)
	l.asked = append(l.asked, q)
	l.replies = append(l.replies, reply{})
	l.mu.Unlock()
	l.wg.Add(1)
	l.world.goes(func() {
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

// wait waits for all replies and checks them: each answer the caller's own,
// each refusal true.
func (l *load) wait() error {
	l.wg.Wait()
	for i, r := range l.replies {
		if r.refusal != nil && r.refusal.Outcome == outcome.NotRun && l.world.ledger.ran(l.asked[i].text()) {
			l.errs = append(l.errs, eris.Wrapf(errFalseNotRun, "%q: %s", l.asked[i].prompt, r.refusal.Message))
		}
	}
	return errors.Join(l.errs...)
}

// whole counts the answers that came in full.
func (l *load) whole() int {
	n := 0
	for _, r := range l.replies {
		if r.whole {
			n++
		}
	}
	return n
}

// allWhole is an error unless every caller got its answer.
func (l *load) allWhole() error {
	for i, r := range l.replies {
		if !r.whole {
			return eris.Errorf("%q got no answer: refusal %+v, error %v", l.asked[i].prompt, r.refusal, r.err)
		}
	}
	return nil
}
