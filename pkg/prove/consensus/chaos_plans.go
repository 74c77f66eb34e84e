package consensus

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/disk"
)

const (
	chaosFaults = 24
	chaosPause  = 2 * time.Second
)

// chaos strikes with faults drawn from the seed, often several at once. Links
// heal now and then.
func chaos(w *world) error {
	for range chaosFaults {
		w.strikeAny()
		time.Sleep(chaosPause * time.Duration(w.intN(100)) / 100)
	}
	return nil
}

func (w *world) strikeAny() {
	p, other := w.victim(), w.any()
	steps := killSteps()
	switch w.intN(9) {
	case 0, 1:
		w.armUp(p, steps[w.intN(len(steps))])
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

func (w *world) any() *process {
	ps := w.all()
	return ps[w.intN(len(ps))]
}

// victim is the leader half of the time, if there is one.
func (w *world) victim() *process {
	if w.intN(2) == 0 {
		return w.any()
	}
	for _, p := range w.all() {
		if p.up() && w.serves(p) {
			return p
		}
	}
	return w.any()
}

func (w *world) armUp(p *process, s killStep) {
	if p.up() {
		p.arm(s, func() {})
	}
}
