package gates

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/proxy"
)

// refusals lets callers' time be up at every moment of their requests, while
// engines pause and one dies. What is refused as not run must not have run.
func refusals(o proxy.Options) prove.Scenario {
	return func(seed uint64) error {
		o := o
		o.InitialTokenTime = time.Microsecond
		w, err := two(o)
		if err != nil {
			return err
		}
		defer w.close()
		r, l := random(seed), w.newLoad()
		for range 10 {
			for i := range 20 {
				l.ask(upTo(r, 400*time.Millisecond), w.gates[i%2], question{organisation: "boia", tokens: answerTokens, streaming: i%4 < 2, deadline: 20*time.Millisecond + upTo(r, 400*time.Millisecond)})
			}
			time.Sleep(upTo(r, 300*time.Millisecond))
			w.hosts[r.IntN(2)].engine.SetFault(engine.Fault{Kind: engine.FaultPause, Millis: r.Int64N(400)})
			time.Sleep(500 * time.Millisecond)
			w.pauseAtFirstToken(r, l)
		}
		w.hosts[r.IntN(2)].kill()
		if err := l.wait(); err != nil {
			return err
		}
		if l.whole() == 0 || l.whole() == len(l.replies) {
			return eris.Errorf("%d of %d requests were answered; the run shows nothing", l.whole(), len(l.replies))
		}
		return nil
	}
}

// pauseAtFirstToken pauses the engines when requests have begun and no token
// is out, for longer than their callers wait.
func (w *world) pauseAtFirstToken(r *rand.Rand, l *load) {
	for i := range 6 {
		l.ask(0, w.gates[i%2], question{organisation: "boia", tokens: answerTokens, streaming: i%4 < 2, deadline: 350 * time.Millisecond})
	}
	time.Sleep(4*time.Millisecond + upTo(r, 8*time.Millisecond))
	for _, h := range w.hosts {
		h.engine.SetFault(engine.Fault{Kind: engine.FaultPause, Millis: 500})
	}
	time.Sleep(time.Second)
}
