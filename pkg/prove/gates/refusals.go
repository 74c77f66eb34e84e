package gates

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/proxy"
)

// refusals makes callers' deadlines expire at every moment of their requests, while
// engines pause and one dies. Requests refused as not run must not have run.
func refusals(o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		o := o
		o.InitialTokenTime = time.Microsecond
		w, err := newWarmWorld(o)
		if err != nil {
			return err
		}
		defer w.close()
		r, l := random(seed), w.newLoad()
		for range 10 {
			for i := range 20 {
				l.ask(randomBelow(r, 400*time.Millisecond), w.gates[i%2], request{organisation: "boia", tokens: answerTokens, streaming: i%4 < 2, deadline: 20*time.Millisecond + randomBelow(r, 400*time.Millisecond)})
			}
			time.Sleep(randomBelow(r, 300*time.Millisecond))
			w.hosts[r.IntN(2)].engine.SetFault(engine.Fault{Kind: engine.FaultPause, Millis: r.Int64N(400)})
			time.Sleep(500 * time.Millisecond)
			w.pauseAtFirstToken(r, l)
		}
		w.hosts[r.IntN(2)].kill()
		if err := l.wait(); err != nil {
			return err
		}
		if l.completeCount() == 0 || l.completeCount() == len(l.replies) {
			return eris.Errorf("%d of %d requests were answered; the run must have both answers and refusals", l.completeCount(), len(l.replies))
		}
		return nil
	}
}

// pauseAtFirstToken pauses the engines after requests have started and before the first
// token, for longer than the callers' deadlines.
func (w *world) pauseAtFirstToken(r *rand.Rand, l *load) {
	for i := range 6 {
		l.ask(0, w.gates[i%2], request{organisation: "boia", tokens: answerTokens, streaming: i%4 < 2, deadline: 350 * time.Millisecond})
	}
	time.Sleep(4*time.Millisecond + randomBelow(r, 8*time.Millisecond))
	for _, h := range w.hosts {
		h.engine.SetFault(engine.Fault{Kind: engine.FaultPause, Millis: 500})
	}
	time.Sleep(time.Second)
}
