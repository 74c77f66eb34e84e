package control

import (
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/prove"
)

const (
	racers      = 3
	raceChanges = 12 // that each operator tries
)

// races returns a scenario in which operators publish over the same base while
// replies are lost.
func races(o options, strike fault) prove.Scenario {
	return prove.InVirtualTime(func(seed uint64) error {
		b := newBed(seed, o)
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
		struck := strike(r)
		ops.wait.Wait()
		time.Sleep(settleTime)
		if err := r.observer.end(); err != nil {
			return err
		}
		if struck != nil {
			return struck
		}
		return ops.check()
	})
}

// field is a set of racing operators.
type field struct {
	all  []*operator
	wait sync.WaitGroup
}

func race(b *bed) *field {
	f := &field{}
	for i := range racers {
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

// check fails unless every accepted change stands once in the history, and
// nothing else but changes whose outcome stayed unknown.
func (f *field) check() error {
	var known []accepted
	open := make(map[string]struct{})
	for _, op := range f.all {
		known = append(known, op.accepted...)
		for _, id := range op.open {
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
	told := make(map[string]struct{})
	for _, a := range known {
		told[a.changeID] = struct{}{}
	}
	for _, c := range history {
		_, isKnown := told[c.ChangeID]
		_, isOpen := open[c.ChangeID]
		if !isKnown && !isOpen {
			return eris.Errorf("change %s stands in the history, its operator was told that it was refused", c.ChangeID)
		}
	}
	if len(known) < leastAccepted {
		return eris.Errorf("only %d changes were accepted", len(known))
	}
	return nil
}

// loseReplies cuts the way from the keepers to the operators now and then, so
// that changes are accepted and their answers lost.
func loseReplies(r *run) error {
	for range 2 * rounds {
		time.Sleep(r.bed.between(100*time.Millisecond, 600*time.Millisecond))
		for _, k := range r.bed.keepers {
			r.bed.net.Cut(k.host, operatorHost)
		}
		time.Sleep(1200 * time.Millisecond)
		r.bed.net.HealAll()
	}
	return nil
}

// loseRepliesAndLeaders loses replies and lets the leader die meanwhile.
func loseRepliesAndLeaders(r *run) error {
	for range rounds {
		time.Sleep(r.bed.between(100*time.Millisecond, 600*time.Millisecond))
		leader := r.bed.leader()
		r.bed.net.Cut(leader.host, operatorHost)
		time.Sleep(r.bed.between(50*time.Millisecond, 500*time.Millisecond))
		leader.kill()
		r.bed.net.HealAll()
		time.Sleep(2 * time.Second)
		if err := leader.restart(); err != nil {
			return err
		}
	}
	return nil
}
