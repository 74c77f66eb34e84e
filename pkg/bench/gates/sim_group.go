package gates

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// simGroup is a simulated group with its engine model.
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
	load        report.Load // as last reported to the gates
}

// add adds a request to the engine.
func (g *simGroup) add(r *request) {
	if r.ended {
		return
	}
	r.sequence = &engine.Sequence{Blocks: r.blocks, Prompt: g.run.scenario.promptBytes / 4, Total: r.tokens}
	g.requests[r.sequence] = r
	g.model.Add(r.sequence)
	g.step()
}

// remove takes an unfinished request out of the engine.
func (g *simGroup) remove(r *request) {
	if r.sequence != nil {
		g.model.Remove(r.sequence)
		delete(g.requests, r.sequence)
	}
}

// step runs batch steps while the engine has work.
func (g *simGroup) step() {
	if g.stepping || g.model.Idle() {
		return
	}
	g.stepping = true
	d := g.model.BeginStep(g.run.clock.now)
	if g.model.Collapsed() && g.run.inMeasuredSpan(g.run.clock.now) {
		g.run.stats.collapsedSteps++
	}
	g.run.clock.after(d, func() {
		g.stepping = false
		for _, s := range g.model.EndStep() {
			if r := g.requests[s]; r != nil {
				g.run.recordToken(g, r)
			}
		}
		g.step()
	})
}

// restart brings the group back with a cold engine.
func (g *simGroup) restart() {
	g.incarnation++
	g.model = engine.NewModel(g.run.scenario.model, g.run.clock.now)
	g.requests = make(map[*engine.Sequence]*request)
	g.load = report.Load{}
	g.serving = true
}

// makeProven replaces the engine with one that started d before the run.
func (g *simGroup) makeProven(d time.Duration) { g.model = engine.NewModel(g.run.scenario.model, -d) }
