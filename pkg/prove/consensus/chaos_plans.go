package consensus

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/disk"
)

const (
	chaosFaults = 24
	chaosPause  = 2 * time.Second
)

// chaos injects random faults, often several at once, and heals the network now and
// then.
func chaos(w *world) error {
	for range chaosFaults {
		w.injectRandomFault()
		time.Sleep(chaosPause * time.Duration(w.intN(100)) / 100)
	}
	return nil
}

func (w *world) injectRandomFault() {
	p, other := w.faultTarget(), w.randomProcess()
	steps := killSteps()
	switch w.intN(9) {
	case 0, 1:
		w.armIfRunning(p, steps[w.intN(len(steps))])
	case 2:
		w.isolate(p)
	case 3:
		w.net.Cut(p.id, other.id)
	case 4:
		w.net.Heal()
	case 5:
		w.net.Heal()
		w.isolate(p)
	case 6:
		p.pause(chaosPause)
	case 7:
		if p.up() {
			p.failLog(disk.OpSync, disk.FailSync)
		}
	case 8:
		if p.up() {
			p.failLog(disk.OpWrite, disk.Full)
		}
	}
}

func (w *world) randomProcess() *process {
	ps := w.all()
	return ps[w.intN(len(ps))]
}

// faultTarget returns the leader half of the time, if there is one, and otherwise a
// random process.
func (w *world) faultTarget() *process {
	if w.intN(2) == 0 {
		return w.randomProcess()
	}
	for _, p := range w.all() {
		if p.up() && w.servesReads(p) {
			return p
		}
	}
	return w.randomProcess()
}

func (w *world) armIfRunning(p *process, s killStep) {
	if p.up() {
		p.armKill(s, func() {})
	}
}
