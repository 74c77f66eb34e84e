package coordinator

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/formation"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// EngineClient carries orders and questions to engine hosts.
type EngineClient interface {
	// Order gives an order. fence is the leadership that gives it; a host
	// refuses orders of an older one.
	Order(ctx context.Context, o formation.Order, fence uint64) (formation.OrderResult, error)
	// Probe asks a host for its report. Any answer of that incarnation is
	// success.
	Probe(ctx context.Context, u fleet.Upstream) error
}

// Config starts a coordinator.
type Config struct {
	Name            string // unique name of this process
	Zone            string // failure domain
	PeerAddress     string // host:port of this process for our own processes
	OperatorAddress string // host:port for operators and upstreams
	Seeds           []string
	FirstStart      bool
	DataDir         string
	Voters          int // coordinators that should vote

	LoadWindow time.Duration // see formation.Config
	// Decode reads an operator's document.
	Decode  func(raw []byte) (*catalog.Set, error)
	Engines EngineClient
	Dial    rpc.DialFunc
	Clock   clock.Clock
	Logger  *log.Logger
}

const (
	// tickInterval is how often the leader's decisions are made beside those
	// that an event causes.
	tickInterval = 100 * time.Millisecond
	// eventPause gathers events that come close together into one decision.
	eventPause = 10 * time.Millisecond
	// summaryInterval is how often the state of the groups is logged when it
	// changed.
	summaryInterval = time.Second
	// electionTicks is how long a follower waits for a leader, in ticks of 50
	// ms: 400 to 800 ms. With 6 ticks a leader on an eighth of a core was deposed
	// while it answered 75 entry hosts.
	electionTicks = 8
	// tendInterval is how often the leader looks after the quorum.
	tendInterval = 500 * time.Millisecond
	// voterSilence is how long a voter may be silent before a waiting
	// coordinator takes its place: well above a fail-over of 1 s, below the
	// time in which a lost one must be made good.
	voterSilence = 2500 * time.Millisecond
	// learnerSilence is how long a coordinator that waits may be silent before
	// it is dropped; it asks again when it is back.
	learnerSilence = 10 * time.Second
	// callTimeout bounds a call to another coordinator: under the second that
	// upstreams wait for an acknowledgement.
	callTimeout = 800 * time.Millisecond
	// changeTimeout bounds a change by an operator, who waits a second before
	// asking elsewhere.
	changeTimeout = 900 * time.Millisecond
	// probeTimeout bounds one question to a host; a second try follows.
	probeTimeout = 300 * time.Millisecond
	// answerAge is how long the answer to a probe holds: several entry hosts
	// suspect the same head within a short time.
	answerAge = 400 * time.Millisecond
	// orderTimeout bounds one order; hosts answer at once or late.
	orderTimeout = time.Second
	// entryAge is how long an entry host counts after its last sync.
	entryAge = 10 * time.Second
	// settleAge is the age of a leadership from which all live upstreams have
	// announced themselves: more than two announcement intervals.
	settleAge = 5 * time.Second
	// openOrders bounds the orders that wait for an answer.
	openOrders = 64
	// reopenPause is the wait before a replica that ended is opened again.
	reopenPause = 500 * time.Millisecond
)
