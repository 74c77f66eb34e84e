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
	keyCount     = 8
	callerSpread = 3 * time.Second // period within which the callers start
)

var (
	errFaultNotInjected = eris.New("the planned fault was not injected")
	errNotRecovered     = eris.New("a new call does not complete after all faults have ended")
	errSentWithoutRight = eris.New("a gate sent a request without the right to send")
)

// scenario returns the scenario of a plan.
func scenario(p plan) prove.Scenario {
	return prove.InVirtualTime(func(seed uint64) error {
		_, err := runPlan(seed, p)
		return err
	})
}

// runPlan runs callers under the faults of a plan and checks the history. It returns the
// ledger entry of each key after all faults have ended.
func runPlan(seed uint64, p plan) ([]ledger.Entry, error) {
	w := newWorld(seed, p)
	w.injectServiceFaults()
	var callers []chan struct{}
	for n := range keyCount {
		key, content := fmt.Sprintf("key-%d", n), fmt.Sprintf("vest %d", n)
		for range 2 {
			delay := time.Duration(w.randomN(int(callerSpread)))
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
	return last, errors.Join(w.close(), w.check(last))
}

// probe resends every key and sends a new one after all faults have ended.
func (w *world) probe() []ledger.Entry {
	var last []ledger.Entry
	for n := range keyCount + 1 {
		last = append(last, w.send(w.randomGate(), fmt.Sprintf("key-%d", n), fmt.Sprintf("vest %d", n), settleTime))
	}
	return last
}

// check checks the complete history.
func (w *world) check(last []ledger.Entry) error {
	if !w.faultInjected() {
		return errFaultNotInjected
	}
	var errs []error
	if !last[keyCount].Done() {
		errs = append(errs, eris.Wrapf(errNotRecovered, "%+v", last[keyCount]))
	}
	for _, v := range ledger.CheckOnce(w.ledger.Entries(), w.executions()) {
		errs = append(errs, v)
	}
	for _, v := range ledger.CheckSettled(last) {
		errs = append(errs, v)
	}
	for _, g := range w.allProcesses {
		if g.violation != "" {
			errs = append(errs, eris.Wrapf(errSentWithoutRight, "%s: %s", g.name, g.violation))
		}
	}
	return errors.Join(errs...)
}

// executions returns the services' record as ledger entries.
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
