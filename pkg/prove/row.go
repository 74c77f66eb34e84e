package prove

// Promise is the number of one of the system's ten guarantees.
type Promise int

// The promises.
const (
	WholeGroups       Promise = 1  // no group serves with only some of its members
	OneGroupPerHost   Promise = 2  // no host belongs to two groups at once
	ColdStartBound    Promise = 3  // a newly started upstream gets no more load than it can handle
	DrainedDomain     Promise = 4  // a drained failure domain gets no new work after a few seconds
	OwnWholeAnswer    Promise = 5  // each caller gets the complete answer to its own request
	TrueNotRun        Promise = 6  // a request refused as not run has not run
	OnceOnly          Promise = 7  // a once-only request runs at most once
	LeavingUpstream   Promise = 8  // a leaving upstream gets no new work after a few seconds
	GracefulShutdown  Promise = 9  // a graceful shutdown interrupts no request
	AcceptedIsInForce Promise = 10 // accepted configuration is in force within seconds and never reverts
)

// Scenario runs once with a seed and returns an error that describes the
// observation that broke the promise.
type Scenario func(seed uint64) error

// Row is one cell of the fault matrix.
type Row struct {
	Promise Promise
	Area    string // package that holds the row, such as "groups"
	Fault   string // such as "member killed"
	Step    string // such as "while loading"
	Run     Scenario
	// Unguarded is the same run with the protecting mechanism switched off. It must
	// return an error, which shows that the check detects the fault. It is nil where
	// the mechanism can't be switched off.
	Unguarded Scenario
}
