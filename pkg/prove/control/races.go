package control

import (
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/prove"
)

const (
	raceOperators = 3
	raceChanges   = 12 // per operator
)

// races returns a scenario in which operators publish changes based on the same
// revision while replies are lost.
func races(o options, inject fault) prove.Scenario {
	return prove.InVirtualTime(func(seed uint64) error {
		b := newTestbed(seed, o)
		defer b.stop()
		if err := b.start(); err != nil {
			return err
		}
		r := &run{bed: b, observer: newObserver(b)}
		ops := race(b)
		defer func() {
			for _, op := range ops.all {
				op.close()
			}
		}()
		faultErr := inject(r)
		ops.wait.Wait()
		time.Sleep(settleTime)
		if err := r.observer.end(); err != nil {
			return err
		}
		if faultErr != nil {
			return faultErr
		}
		return ops.check()
	})
}

// contest is a set of competing operators.
type contest struct {
	all  []*operator
	wait sync.WaitGroup
}

func race(b *testbed) *contest {
	f := &contest{}
	for i := range raceOperators {
		op := newOperator(b, "op"+strconv.Itoa(i+1))
		f.all = append(f.all, op)
		f.wait.Add(1)
		go func() {
			defer f.wait.Done()
			for n := 1; n <= raceChanges; n++ {
				op.publish(100*(i+1) + n)
			}
		}()
	}
	return f
}

// check fails unless every accepted change is in the history once and all others in
// the history are changes whose outcome stayed unknown.
func (f *contest) check() error {
	var known []accepted
	open := make(map[string]struct{})
	for _, op := range f.all {
		known = append(known, op.accepted...)
		for _, id := range op.unknown {
			open[id] = struct{}{}
		}
	}
	history, err := f.all[0].history()
	if err != nil {
		return err
	}
	if err := checkHistory(known, history); err != nil {
		return err
	}
	acceptedIDs := make(map[string]struct{})
	for _, a := range known {
		acceptedIDs[a.changeID] = struct{}{}
	}
	for _, c := range history {
		_, isKnown := acceptedIDs[c.ChangeID]
		_, isOpen := open[c.ChangeID]
		if !isKnown && !isOpen {
			return eris.Errorf("change %s is in the history, although its operator was told that it was refused", c.ChangeID)
		}
	}
	if len(known) < minAccepted {
		return eris.Errorf("only %d changes were accepted, too few to check", len(known))
	}
	return nil
}

// loseReplies repeatedly cuts the direction from the keepers to the operators, so that
// changes are accepted and their replies are lost.
func loseReplies(r *run) error {
	for range 2 * rounds {
		time.Sleep(r.bed.randomDuration(100*time.Millisecond, 600*time.Millisecond))
		for _, k := range r.bed.keepers {
			r.bed.net.Cut(k.host, operatorHost)
		}
		time.Sleep(1200 * time.Millisecond)
		r.bed.net.HealAll()
	}
	return nil
}

// loseRepliesAndLeaders cuts the leader's replies and then kills it.
func loseRepliesAndLeaders(r *run) error {
	for range rounds {
		time.Sleep(r.bed.randomDuration(100*time.Millisecond, 600*time.Millisecond))
		leader := r.bed.leader()
		r.bed.net.Cut(leader.host, operatorHost)
		time.Sleep(r.bed.randomDuration(50*time.Millisecond, 500*time.Millisecond))
		leader.kill()
		r.bed.net.HealAll()
		time.Sleep(2 * time.Second)
		if err := leader.restart(); err != nil {
			return err
		}
	}
	return nil
}
