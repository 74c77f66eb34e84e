package gates

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// simGroup is one group with its engine.
type simGroup struct {
	run         *run
	id          view.GroupID
	target      view.TargetID
	host        view.HostName
	domain      string
	incarnation view.Incarnation
	serving     bool
	model       *engine.Model
	requests    map[*engine.Sequence]*request
	stepping    bool
	load        report.Load // as gates know it
}

// add puts a request into the engine.
func (g *simGroup) add(r *request) {
	if r.ended {
		return
	}
	r.sequence = &engine.Sequence{Blocks: r.blocks, Prompt: g.run.scenario.prompt / 4, Total: r.tokens}
	g.requests[r.sequence] = r
	g.model.Add(r.sequence)
	g.step()
}

// remove ends a request early.
func (g *simGroup) remove(r *request) {
	if r.sequence != nil {
		g.model.Remove(r.sequence)
		delete(g.requests, r.sequence)
	}
}

// step runs the batch while there is work.
func (g *simGroup) step() {
	if g.stepping || g.model.Idle() {
		return
	}
	g.stepping = true
	d := g.model.BeginStep(g.run.clock.now)
	if g.model.Collapsed() && g.run.counts(g.run.clock.now) {
		g.run.stats.over++
	}
	g.run.clock.after(d, func() {
		g.stepping = false
		for _, s := range g.model.EndStep() {
			if r := g.requests[s]; r != nil {
				g.run.token(g, r)
			}
		}
		g.step()
	})
}

// restart is a return with a cold engine.
func (g *simGroup) restart() {
	g.incarnation++
	g.model = engine.NewModel(g.run.scenario.model, g.run.clock.now)
	g.requests = make(map[*engine.Sequence]*request)
	g.load = report.Load{}
	g.serving = true
}

// age makes the engine as old as if it had started long before the run.
func (g *simGroup) age(d time.Duration) { g.model = engine.NewModel(g.run.scenario.model, -d) }
