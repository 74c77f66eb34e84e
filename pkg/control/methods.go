package control

// Method is the name of a JSON-RPC method.
type Method string

// Methods that keepers serve.
const (
	MethodRaft              Method = "raft.step"         // notification between keepers
	MethodGateSync          Method = "gate.sync"         // lease renewal, view, reports, orders
	MethodOnceIntent        Method = "once.intent"       // record a once-only request before it runs
	MethodOnceOutcome       Method = "once.outcome"      // record how it ended
	MethodCrashReport       Method = "suspect.crash"     // requests that ran on an upstream when it crashed
	MethodRanWell           Method = "suspect.ranwell"   // a suspect ran alone and its upstream lived
	MethodApply             Method = "operator.apply"    // check and publish a set of objects
	MethodCheck             Method = "operator.check"    // check only
	MethodGet               Method = "operator.get"      // objects in force
	MethodHistory           Method = "operator.history"  // accepted changes
	MethodRollback          Method = "operator.rollback" // publish an earlier set as a new revision
	MethodDrain             Method = "operator.drain"    // give something no new work
	MethodRestore           Method = "operator.restore"  // give it work again
	MethodStatus            Method = "operator.status"   // the whole state in short
	MethodWait              Method = "operator.wait"     // until a revision is in force everywhere
	MethodKeeperReplace     Method = "keeper.replace"    // replace one keeper replica
	MethodKeeperStatus      Method = "keeper.status"     // this replica's consensus state
	MethodQuarantineList    Method = "quarantine.list"
	MethodQuarantineRelease Method = "quarantine.release"
)

// Methods that coordinators serve, for deployments whose objects come from
// outside as one document.
const (
	MethodFleetSync     Method = "fleet.sync"     // an entry host's or coordinator's view of the deployment
	MethodFleetAnnounce Method = "fleet.announce" // an upstream's word for itself, passed on to the leader
	MethodFleetDepart   Method = "fleet.depart"   // an upstream signs off
	MethodFleetSuspect  Method = "fleet.suspect"  // the head of a group went silent
	MethodFleetChange   Method = "fleet.change"   // put a change by an operator in force
	MethodFleetRead     Method = "fleet.read"     // the document in force
	MethodFleetDocument Method = "fleet.document" // a document that this coordinator holds, from a version on
	MethodFleetJoin     Method = "fleet.join"     // a coordinator without a replica asks to take part
	MethodFleetPlace    Method = "fleet.place"    // an entry host asks the one that places a model's requests
	MethodFleetPlaced   Method = "fleet.placed"   // what became of places; a notification
)

// Methods that every process serves.
const (
	MethodTimeline Method = "timeline.read" // events of this process's ring
)
