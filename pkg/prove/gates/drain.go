package gates

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/proxy"
)

// errNewWork is returned if a request started where none may start.
var errNewWork = eris.New("a request started on a drained or leaving target")

// drainLimit is the maximum time from the operator's command to the last new request.
const drainLimit = 4 * time.Second

// gateFault is a fault that affects a gate at the time of the operator's command.
type gateFault func(g *gate)

func noFault(*gate) {}

func isolateGate(g *gate) { g.isolated.Store(true) }

// pauseGate pauses a gate until long after the command. It also closes the gate's idle
// connections, so that each request has to open one.
func pauseGate(g *gate) {
	g.pause(10 * time.Second)
	g.proxy.Close()
}

// isolateGateIgnoringLease isolates a gate that takes work without a lease.
func isolateGateIgnoringLease(g *gate) {
	g.ignoreLease.Store(true)
	isolateGate(g)
}

// drainUnderLoad drains groups under load: those of one failure domain, or that of one
// leaving upstream.
func drainUnderLoad(inject gateFault, o proxy.Options, out ...groupID) prove.Scenario {
	return func(seed uint64) error {
		w := newWorld(permit.Options{MinPermits: 1})
		defer w.close()
		w.startGates(3, o)
		leaving := []*host{w.startHost("h1", fastModel()), w.startHost("h2", fastModel())}
		staying := w.startHost("h3", fastModel())
		for i, h := range append(leaving, staying) {
			id := groupOf(i)
			if err := w.publishGroup(h, id, domainOf(i/2)); err != nil {
				return err
			}
		}
		r, l := random(seed), w.newLoad()
		for i := range 180 {
			l.ask(time.Duration(i)*100*time.Millisecond+randomBelow(r, 100*time.Millisecond), w.gates[i%3], request{organisation: "boia", tokens: 20, streaming: i%2 == 0, deadline: 20 * time.Second})
		}
		time.Sleep(4 * time.Second)
		inject(w.holder(out[0]))
		command := time.Now()
		w.keeper.drain(true, out...)
		if err := l.wait(); err != nil {
			return err
		}
		return w.checkNoNewWork(leaving[:len(out)], command)
	}
}

func (w *world) checkNoNewWork(hosts []*host, command time.Time) error {
	for _, h := range hosts {
		if delay := w.ledger.lastStart(h.name).Sub(command); delay > drainLimit {
			return eris.Wrapf(errNewWork, "host %s started a request %s after the command", h.name, delay)
		}
	}
	if w.ledger.lastStart("h3").Before(command) {
		return eris.New("no request started on the other host after the command")
	}
	return nil
}
