package once

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/fake/service"
	"github.com/sesamemux/sesamemux/pkg/ledger"
	"github.com/sesamemux/sesamemux/pkg/prove"
)

const (
	keyCount = 8
	spread   = 3 * time.Second // of the callers' beginnings
)

var (
	errNotStruck = eris.New("the fault did not strike")
	errUseless   = eris.New("after all faults a new call is not done")
	errRight     = eris.New("a gate sent without the right to")
)

// scenario returns a plan's run.
func scenario(p plan) prove.Scenario {
	return prove.InVirtualTime(func(seed uint64) error {
		_, err := play(seed, p)
		return err
	})
}

// play runs callers against the faults of a plan and checks the history. It
// returns what each key was told when all faults were over.
func play(seed uint64, p plan) ([]ledger.Entry, error) {
	w := newWorld(seed, p)
	w.orderServiceFaults()
	var callers []chan struct{}
	for n := range keyCount {
		key, content := fmt.Sprintf("key-%d", n), fmt.Sprintf("vest %d", n)
		for range 2 {
			delay := time.Duration(w.pick(int(spread)))
			done := make(chan struct{})
			callers = append(callers, done)
			w.spawn(func() {
				defer close(done)
				time.Sleep(delay)
				w.caller(key, content)
			})
		}
	}
	for _, done := range callers {
		<-done
	}
	w.heal()
	time.Sleep(settleTime)
	last := w.probe()
	return last, errors.Join(w.close(), w.judge(last))
}

// probe resends every key, and sends a new one, when all faults are over.
func (w *world) probe() []ledger.Entry {
	var last []ledger.Entry
	for n := range keyCount + 1 {
		last = append(last, w.send(w.anyGate(), fmt.Sprintf("key-%d", n), fmt.Sprintf("vest %d", n), settleTime))
	}
	return last
}

// judge checks the whole history.
func (w *world) judge(last []ledger.Entry) error {
	if !w.happened() {
		return errNotStruck
	}
	var errs []error
	if !last[keyCount].Done() {
		errs = append(errs, eris.Wrapf(errUseless, "%+v", last[keyCount]))
	}
	for _, v := range ledger.CheckOnce(w.ledger.Entries(), w.executions()) {
		errs = append(errs, v)
	}
	for _, v := range ledger.CheckSettled(last) {
		errs = append(errs, v)
	}
	for _, g := range w.all {
		if g.violation != "" {
			errs = append(errs, eris.Wrapf(errRight, "%s: %s", g.name, g.violation))
		}
	}
	return errors.Join(errs...)
}

// executions returns the services' record in the ledger's form.
func (w *world) executions() []ledger.Execution {
	var list []ledger.Execution
	for _, x := range w.record.Executions() {
		list = append(list, toLedger(x))
	}
	return list
}

func toLedger(x service.Execution) ledger.Execution {
	return ledger.Execution{
		Serial:       x.Serial,
		Request:      x.Request,
		Organisation: x.Organisation,
		Key:          x.Key,
		Content:      x.Body,
		Answer:       x.Answer(),
	}
}
