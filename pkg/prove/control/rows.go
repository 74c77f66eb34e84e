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
	withoutLease := options{gates: 3, ignoreLease: true}
	withoutLeaseWait := options{gates: 3, keepers: keeper.Unsafe{IgnoreEarlierLeases: true}}
	withNotice := options{gates: 3, shutdownNotice: time.Second}
	abrupt := options{gates: 3, shutdownNotice: time.Second, closeOnShutdown: true}
	slowBalancer := options{gates: 3, shutdownNotice: time.Second, healthInterval: 800 * time.Millisecond}
	slowWithoutNotice := options{gates: 3, healthInterval: 800 * time.Millisecond}
	withoutBarrier := options{gates: 3, keepers: keeper.Unsafe{NoBarrier: true}}
	gates := allGates(3)
	return []prove.Row{
		inForce("none", "while changes are accepted", changes(three, noFault, gates...), nil),
		inForce("leader killed", "at any step of a change", changes(three, killLeaders, gates...), nil),
		inForce("all keepers killed", "at any step of a change", changes(three, killAllKeepers), nil),
		inForce("leader cut off silently", "for 4 s", changes(three, isolateLeader(4*time.Second), gates...), nil),
		inForce("leader cut off silently", "for 60 s", changes(three, isolateLeader(time.Minute), gates...), nil),
		inForce("leader's way to keepers cut", "while changes are accepted", changes(three, cutLeaderOneWay(true), gates...), nil),
		inForce("keepers' way to the leader cut", "while changes are accepted", changes(three, cutLeaderOneWay(false), gates...), nil),
		inForce("gate cut off", "while changes are accepted", changes(three, isolateGate, gates[1:]...), changes(withoutLease, isolateGate)),
		inForce("gate cut off from the leader", "while changes are accepted", changes(three, partitionGateFromLeader, gates...), nil),
		inForce("gate cut off", "while an operator waits for the barrier", changes(three, isolateGate), changes(withoutBarrier, isolateGate)),
		inForce("gate cut off, leader killed", "while an operator waits for the barrier", changes(three, isolateGateAndKillLeader), changes(withoutLeaseWait, isolateGateAndKillLeader)),
		inForce("leader's failure domain dark", "while changes are accepted", changes(three, failLeaderDomain, gates[1:]...), nil),
		inForce("gate restarted", "while one keeper is behind", changes(three, restartGate), nil),
		inForce("replies lost", "while operators race over one base", races(three, loseReplies), nil),
		inForce("replies lost, leader killed", "while operators race over one base", races(three, loseRepliesAndLeaders), nil),
		drained("none", "while groups serve", withGroups(three, drainDuring(noFault)), nil),
		drained("leader killed", "at any step of the drain", withGroups(three, drainDuring(killLeaders)), nil),
		drained("gate cut off", "before the drain", withGroups(three, drainDuring(isolateGate)), withGroups(withoutLease, drainDuring(isolateGateForLong))),
		drained("gate cut off from the leader", "before the drain", withGroups(three, drainDuring(partitionGateFromLeader)), nil),
		leaving("none", "while groups serve", withGroups(three, leaveDuring(noFault)), nil),
		leaving("leader killed", "when the upstream announces it", withGroups(three, leaveDuring(killLeaders)), nil),
		leaving("gate cut off", "when the upstream announces it", withGroups(three, leaveDuring(isolateGateForLong)), withGroups(withoutLease, leaveDuring(isolateGateForLong))),
		shutdown("none", "gates shut down in turn, answers under way", shutdowns(withNotice, noFault), shutdowns(abrupt, noFault)),
		shutdown("leader killed", "gates shut down in turn, answers under way", shutdowns(withNotice, killLeaders), nil),
		shutdown("none", "the balancer looks late", shutdowns(slowBalancer, noFault), shutdowns(slowWithoutNotice, noFault)),
		oneGroup("hosts restarted", "while groups are repaired", withGroups(three, restartEnginesDuring(noFault)), nil),
		oneGroup("hosts restarted, leader killed", "while groups are repaired", withGroups(three, restartEnginesDuring(killLeaders)), nil),
		oneGroup("hosts restarted, gate cut off", "while groups are repaired", withGroups(three, restartEnginesDuring(isolateGate)), withGroups(withoutLease, restartEnginesDuring(isolateGateForLong))),
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
