package control

// Method is the name of a JSON-RPC method.
type Method string

// Methods served by keepers.
const (
	MethodRaft              Method = "raft.step"         // consensus message between keepers; a notification
	MethodGateSync          Method = "gate.sync"         // lease renewal, view, reports and orders
	MethodOnceIntent        Method = "once.intent"       // record a once-only request before it runs
	MethodOnceOutcome       Method = "once.outcome"      // record the outcome of a once-only request
	MethodCrashReport       Method = "suspect.crash"     // report the requests that ran on an upstream when it crashed
	MethodRanWell           Method = "suspect.ranwell"   // report that a suspect ran alone and its upstream did not crash
	MethodApply             Method = "operator.apply"    // check and publish a set of objects
	MethodCheck             Method = "operator.check"    // check a set of objects only
	MethodGet               Method = "operator.get"      // read the objects of a revision
	MethodHistory           Method = "operator.history"  // list accepted changes
	MethodRollback          Method = "operator.rollback" // publish an earlier set as a new revision
	MethodDrain             Method = "operator.drain"    // stop giving new work to a failure domain or upstream
	MethodRestore           Method = "operator.restore"  // end a drain
	MethodStatus            Method = "operator.status"   // summary of the whole state
	MethodWait              Method = "operator.wait"     // wait until a revision is in force everywhere
	MethodKeeperReplace     Method = "keeper.replace"    // replace one keeper replica
	MethodKeeperStatus      Method = "keeper.status"     // this replica's consensus state
	MethodQuarantineList    Method = "quarantine.list"
	MethodQuarantineRelease Method = "quarantine.release"
)

// Methods served by coordinators and entry hosts, in deployments whose objects come from outside
// as one document.
const (
	MethodFleetSync     Method = "fleet.sync"     // state of the deployment for an entry host or coordinator
	MethodFleetAnnounce Method = "fleet.announce" // announcement of an upstream, forwarded to the leader
	MethodFleetDepart   Method = "fleet.depart"   // an upstream leaves
	MethodFleetSuspect  Method = "fleet.suspect"  // the head of a group stopped responding
	MethodFleetBase     Method = "fleet.base"     // what an order without a version is based on
	MethodFleetChange   Method = "fleet.change"   // put an operator's change in force
	MethodFleetRead     Method = "fleet.read"     // read the document in force
	MethodFleetDocument Method = "fleet.document" // fetch the document held by this coordinator, if recent enough
	MethodFleetJoin     Method = "fleet.join"     // a coordinator without a replica asks to join
	MethodFleetLeave    Method = "fleet.leave"    // a coordinator that stops hands its place in the quorum on
	MethodFleetRemoved  Method = "fleet.removed"  // whether a replica was removed, as a coordinator knows
	MethodFleetPlace    Method = "fleet.place"    // place a request; served by the placer of its model
	MethodFleetPlaced   Method = "fleet.placed"   // progress of placements; a notification to the placer
	MethodFleetRuns     Method = "fleet.runs"     // how runs ended that matter to the quarantine
	MethodFleetCheckEnd Method = "fleet.checkend" // whether an upstream has ended, as seen by a coordinator
	MethodFleetTrial    Method = "fleet.trial"    // ask for a trial of a suspect
	MethodFleetReport   Method = "fleet.report"   // what a coordinator that follows the leader has heard
)

// Methods served by every process.
const (
	MethodTimeline Method = "timeline.read" // newest events in the process's ring buffer
)
