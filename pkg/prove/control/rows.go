package control

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/keeper"
	"github.com/sesamemux/sesamemux/pkg/prove"
)

const area = "control"

// Rows returns the rows of the control plane.
func Rows() []prove.Row {
	three := options{gates: 3}
	lawless := options{gates: 3, ignoreLease: true}
	hasty := options{gates: 3, keepers: keeper.Unsafe{IgnoreEarlierLeases: true}}
	polite := options{gates: 3, notice: time.Second}
	abrupt := options{gates: 3, notice: time.Second, abrupt: true}
	late := options{gates: 3, notice: time.Second, look: 800 * time.Millisecond}
	deaf := options{gates: 3, look: 800 * time.Millisecond}
	blind := options{gates: 3, keepers: keeper.Unsafe{NoBarrier: true}}
	calm := allGates(3)
	return []prove.Row{
		inForce("none", "while changes are accepted", changes(three, quiet, calm...), nil),
		inForce("leader killed", "at any step of a change", changes(three, killLeader, calm...), nil),
		inForce("all keepers killed", "at any step of a change", changes(three, killAllKeepers), nil),
		inForce("leader cut off silently", "for 4 s", changes(three, cutLeader(4*time.Second), calm...), nil),
		inForce("leader cut off silently", "for 60 s", changes(three, cutLeader(time.Minute), calm...), nil),
		inForce("leader's way to keepers cut", "while changes are accepted", changes(three, cutLeaderOneWay(true), calm...), nil),
		inForce("keepers' way to the leader cut", "while changes are accepted", changes(three, cutLeaderOneWay(false), calm...), nil),
		inForce("gate cut off", "while changes are accepted", changes(three, cutGate, calm[1:]...), changes(lawless, cutGate)),
		inForce("gate cut off from the leader", "while changes are accepted", changes(three, cutGateFromLeader, calm...), nil),
		inForce("gate cut off", "while an operator waits for the barrier", changes(three, cutGate), changes(blind, cutGate)),
		inForce("gate cut off, leader killed", "while an operator waits for the barrier", changes(three, cutGateAndKillLeader), changes(hasty, cutGateAndKillLeader)),
		inForce("leader's failure domain dark", "while changes are accepted", changes(three, darkDomain, calm[1:]...), nil),
		inForce("gate restarted", "while one keeper is behind", changes(three, restartGate), nil),
		inForce("replies lost", "while operators race over one base", races(three, loseReplies), nil),
		inForce("replies lost, leader killed", "while operators race over one base", races(three, loseRepliesAndLeaders), nil),
		drained("none", "while groups serve", withGroups(three, drainUnder(quiet)), nil),
		drained("leader killed", "at any step of the drain", withGroups(three, drainUnder(killLeader)), nil),
		drained("gate cut off", "before the drain", withGroups(three, drainUnder(cutGate)), withGroups(lawless, drainUnder(cutGateLong))),
		drained("gate cut off from the leader", "before the drain", withGroups(three, drainUnder(cutGateFromLeader)), nil),
		leaving("none", "while groups serve", withGroups(three, leaveUnder(quiet)), nil),
		leaving("leader killed", "when the upstream announces it", withGroups(three, leaveUnder(killLeader)), nil),
		leaving("gate cut off", "when the upstream announces it", withGroups(three, leaveUnder(cutGateLong)), withGroups(lawless, leaveUnder(cutGateLong))),
		shutdown("none", "gates shut down in turn, answers under way", shutdowns(polite, quiet), shutdowns(abrupt, quiet)),
		shutdown("leader killed", "gates shut down in turn, answers under way", shutdowns(polite, killLeader), nil),
		shutdown("none", "the balancer looks late", shutdowns(late, quiet), shutdowns(deaf, quiet)),
		oneGroup("hosts restarted", "while groups are repaired", withGroups(three, restartEngines(quiet)), nil),
		oneGroup("hosts restarted, leader killed", "while groups are repaired", withGroups(three, restartEngines(killLeader)), nil),
		oneGroup("hosts restarted, gate cut off", "while groups are repaired", withGroups(three, restartEngines(cutGate)), withGroups(lawless, restartEngines(cutGateLong))),
	}
}

func drained(fault, step string, run, unguarded prove.Scenario) prove.Row {
	return prove.Row{Promise: prove.DrainedDomain, Area: area, Fault: fault, Step: step, Run: run, Unguarded: unguarded}
}

func leaving(fault, step string, run, unguarded prove.Scenario) prove.Row {
	return prove.Row{Promise: prove.LeavingUpstream, Area: area, Fault: fault, Step: step, Run: run, Unguarded: unguarded}
}

func shutdown(fault, step string, run, unguarded prove.Scenario) prove.Row {
	return prove.Row{Promise: prove.GracefulShutdown, Area: area, Fault: fault, Step: step, Run: run, Unguarded: unguarded}
}

func oneGroup(fault, step string, run, unguarded prove.Scenario) prove.Row {
	return prove.Row{Promise: prove.OneGroupPerHost, Area: area, Fault: fault, Step: step, Run: run, Unguarded: unguarded}
}

func inForce(fault, step string, run, unguarded prove.Scenario) prove.Row {
	return prove.Row{Promise: prove.AcceptedIsInForce, Area: area, Fault: fault, Step: step, Run: run, Unguarded: unguarded}
}
