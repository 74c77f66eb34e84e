package gates

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/proxy"
)

// errNewWork says that work began where none may begin.
var errNewWork = eris.New("work began on what was taken out of service")

// drainLimit is the longest from the operator's command to the last new work.
const drainLimit = 4 * time.Second

// trouble is what befalls a gate at the operator's command.
type trouble func(g *gate)

func none(*gate) {}

func cutOff(g *gate) { g.cut.Store(true) }

// standStill pauses a gate until long after the command.
// Its idle connections are lost, so that each request has to open one.
func standStill(g *gate) {
	g.pause(10 * time.Second)
	g.proxy.Close()
}

// cutOffWithoutLease is cutOff of a gate that leaves its lease out of account.
func cutOffWithoutLease(g *gate) {
	g.ignore.Store(true)
	cutOff(g)
}

// drained takes groups out of service under load: those of one failure domain,
// or that of one upstream which leaves.
func drained(befalls trouble, o proxy.Options, out ...groupID) prove.Scenario {
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
			l.ask(time.Duration(i)*100*time.Millisecond+upTo(r, 100*time.Millisecond), w.gates[i%3], question{organisation: "boia", tokens: 20, streaming: i%2 == 0, deadline: 20 * time.Second})
		}
		time.Sleep(4 * time.Second)
		befalls(w.holder(out[0]))
		command := time.Now()
		w.keeper.drain(true, out...)
		if err := l.wait(); err != nil {
			return err
		}
		return w.checkQuiet(leaving[:len(out)], command)
	}
}

func (w *world) checkQuiet(hosts []*host, command time.Time) error {
	for _, h := range hosts {
		if late := w.ledger.last(h.name).Sub(command); late > drainLimit {
			return eris.Wrapf(errNewWork, "%s began a request %s after the command", h.name, late)
		}
	}
	if w.ledger.last("h3").Before(command) {
		return eris.New("nothing began elsewhere after the command")
	}
	return nil
}
