package coordinator

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/census"
	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/formation"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// EngineClient sends orders and probes to engine hosts.
type EngineClient interface {
	// Order sends an order. fence is the term of the leadership that gives it; hosts refuse orders
	// of an older term.
	Order(ctx context.Context, o formation.Order, fence uint64) (formation.OrderResult, error)
	// Probe requests a host's report over a new connection. The error tells why the result is not
	// formation.Answered.
	Probe(ctx context.Context, u fleet.Upstream) (formation.ProbeResult, error)
}

// Config configures a coordinator.
type Config struct {
	Name            string   // unique name of this process
	Zone            string   // failure domain
	PeerAddress     string   // host:port for sesamemux processes
	OperatorAddress string   // host:port for operators and upstreams
	Seeds           []string // host:port of some coordinators, for sesamemux processes
	FirstStart      bool     // the deployment starts for the first time
	DataDir         string
	FS              disk.FS // of what this process writes; nil: the operating system's
	Voters          int     // intended number of voters

	LoadWindow time.Duration // see formation.Config
	// FencingEnforced is set if engine hosts refuse orders of terms before the highest that they have seen.
	FencingEnforced bool
	// Decode parses and validates an operator's document.
	Decode  func(raw []byte) (*catalog.Set, error)
	Engines EngineClient
	Dial    rpc.DialFunc
	Clock   clock.Clock
	Logger  *log.Logger
}

const (
	// tickInterval is how often the leader runs the planner in addition to event-driven runs.
	tickInterval = 100 * time.Millisecond
	// decisionDelay batches events in quick succession into one run of the planner.
	decisionDelay = 10 * time.Millisecond
	// plannerPause is the pause before the next run of the planner because of an event, in durations of
	// the last run, so that it leaves the processor to calls when that is short.
	plannerPause = 9
	// documentDecodeInterval is the minimum time between two documents that are decoded for the
	// planner.
	documentDecodeInterval = time.Second
	// summaryInterval is the minimum time between log lines about the state of the groups.
	summaryInterval = time.Second
	// electionTicks is the election timeout in ticks of 50 ms, 400 to 800 ms in effect. With 6
	// ticks a leader with an eighth of a CPU core lost its leadership while it answered 75 entry
	// hosts.
	electionTicks = 8
	// quorumCheckInterval is how often the leader checks the membership of the quorum.
	quorumCheckInterval = 200 * time.Millisecond
	// maxSuccessiveChanges bounds the membership changes of one check.
	maxSuccessiveChanges = 4
	// voterTimeout is how long a voter may be silent before a learner replaces it: well above a
	// fail-over of 1 s and below the time within which a lost voter must be replaced.
	voterTimeout = 2500 * time.Millisecond
	// learnerTimeout is how long a learner may be silent before it is removed. It joins again when
	// it is back.
	learnerTimeout = 10 * time.Second
	// callTimeout bounds a call to another coordinator. It is below the second for which upstreams
	// wait for an acknowledgement.
	callTimeout = 800 * time.Millisecond
	// changeTimeout bounds an operator's change. Operators wait for a second before they try
	// another coordinator.
	changeTimeout = 900 * time.Millisecond
	// probeTimeout bounds one probe of a host.
	probeTimeout = 300 * time.Millisecond
	// probeAnswerTTL is how long the answer to a probe is valid: several entry hosts suspect the
	// same head within a short time.
	probeAnswerTTL = 400 * time.Millisecond
	// orderTimeout bounds an order. Hosts either answer immediately or much later.
	orderTimeout = time.Second
	// processTimeout is how long after its last sync a process is taken into account.
	processTimeout = census.IncompleteTime
	// settleTime is the age of a leadership after which all live upstreams have announced
	// themselves: more than two announcement intervals.
	settleTime = 5 * time.Second
	// maxOpenOrders bounds the orders in flight.
	maxOpenOrders = 64
	// reopenDelay is the delay before a failed replica is opened again.
	reopenDelay = 500 * time.Millisecond
)
