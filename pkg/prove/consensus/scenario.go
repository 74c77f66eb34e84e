package consensus

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/prove"
)

// warmUp is the time for clients to commit before the first fault.
const warmUp = time.Second

// plan injects faults into a running world. It returns an error for a violation that
// the history does not show.
type plan func(w *world) error

func scenario(opts options, p plan) prove.Scenario {
	return prove.InVirtualTime(func(seed uint64) error {
		w := newWorld(seed, opts)
		defer w.close()
		if _, err := w.leader(); err != nil {
			return err
		}
		w.startClients()
		time.Sleep(warmUp)
		if err := p(w); err != nil {
			return err
		}
		return w.finish()
	})
}
