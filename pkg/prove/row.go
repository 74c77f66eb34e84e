package prove

// Promise counts the points of the brief's "What must always hold", 1 to 10.
type Promise int

// The promises.
const (
	WholeGroups       Promise = 1  // no group serves with only some of its members
	OneGroupPerHost   Promise = 2  // no host belongs to two groups at once
	ColdStartBound    Promise = 3  // a just-started upstream gets no more than it can bear
	DrainedDomain     Promise = 4  // a drained failure domain gets no new work after seconds
	OwnWholeAnswer    Promise = 5  // each caller gets the whole answer to its own request
	TrueNotRun        Promise = 6  // a refusal that says not run is true
	OnceOnly          Promise = 7  // a request that must not be repeated runs at most once
	LeavingUpstream   Promise = 8  // a leaving upstream gets no new work after seconds
	GracefulShutdown  Promise = 9  // a graceful shutdown cuts off no request
	AcceptedIsInForce Promise = 10 // accepted configuration is in force within seconds, never reverts
)

// Scenario plays one run from a seed and returns an error that says which
// observation broke the promise.
type Scenario func(seed uint64) error

// Row is one cell of the fault matrix.
type Row struct {
	Promise Promise
	Area    string // package that keeps the row, such as "groups"
	Fault   string // such as "member killed"
	Step    string // such as "while loading"
	Run     Scenario
	// Unguarded plays the same run with the protecting mechanism off. It must
	// return an error, which shows that the check sees the fault. It may be
	// nil where the mechanism can't be switched off.
	Unguarded Scenario
}
