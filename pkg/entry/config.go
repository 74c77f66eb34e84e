package entry

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// Config starts an entry host.
type Config struct {
	Name          string // unique name of this process
	Zone          string // failure domain
	Coordinators  []string
	PlacerAddress string // host:port at which it places other entry hosts' requests; empty: it does not
	Headers       Headers
	// Decode reads a document.
	Decode func(raw []byte) (*catalog.Set, error)

	RetryRatio  float64 // repeats for each request to a service, over all entry hosts
	RetryBurst  float64 // repeats beyond the ratio in a window, over all entry hosts
	ColdFactor  float64 // a cold upstream bears its rate times this
	ColdSlack   float64 // plus this, in a second
	Dial        rpc.DialFunc
	DialBackend upstream.DialFunc
	Clock       clock.Clock
	Logger      *log.Logger
}

const (
	// syncWait is how long a question for news waits at the coordinator; with
	// it the other entry hosts' requests are known that fresh.
	syncWait = 250 * time.Millisecond
	// syncWaitMost bounds the wait where many entry hosts ask, and syncWaitEach
	// is each one's part of it: 15 ms let one small host answer all of them.
	syncWaitMost = time.Second
	syncWaitEach = 15 * time.Millisecond
	// syncTimeout bounds a question beyond its wait; then another coordinator
	// is asked.
	syncTimeout = 700 * time.Millisecond
	// syncRetry is the pause after a coordinator that could not be asked.
	syncRetry = 50 * time.Millisecond
	// missingFor is how long an upstream that a settled leader does not know
	// is kept.
	missingFor = 3 * time.Second

	// silentHead is the silence of a head that was writing after which its
	// streams go on elsewhere: a pass that reads prompts in all its steps takes
	// up to 300 ms.
	silentHead = 400 * time.Millisecond
	// silentFirst is the same for a head from which nothing has come on a
	// stream yet: prompts of others may be read first.
	silentFirst = 800 * time.Millisecond
	// silentPrompt is added to it for each prompt that waits at the head.
	silentPrompt = 40 * time.Millisecond
	// alarmsMost bounds how often the time of a head that was suspected without
	// cause doubles.
	alarmsMost = 2
	// silentStream is the silence of one stream of a head that sends others.
	silentStream = 1200 * time.Millisecond
	// watchPause is the time between two looks at a silent stream.
	watchPause = 150 * time.Millisecond
	// suspectFor is how long a head that went silent gets no new requests.
	suspectFor = time.Second
	// backoffFirst and backoffMost bound the time without new requests after
	// an upstream failed one; it doubles with each failure in a row.
	backoffFirst = 200 * time.Millisecond
	backoffMost  = 3 * time.Second
	// hedgeAfter is the part of a request's time after which one that may be
	// repeated goes to another upstream.
	hedgeAfter = 0.4

	// bufferedAnswer is the size up to which an answer is read before any of
	// it is passed on, so that one that breaks off can be replaced; in bytes.
	bufferedAnswer = 256 << 10
	// idleReuse is how long a connection to an upstream may be idle and still
	// be used: longer ones may be closed by the other end without notice.
	idleReuse = 1500 * time.Millisecond
	// idlePerUpstream bounds the idle connections to one upstream.
	idlePerUpstream = 12
	// upstreamSilence bounds the silence of an upstream's connection in any
	// case; the watches above act before it.
	upstreamSilence = 20 * time.Second

	// entriesToCome is added to the number of entry hosts when a bound over
	// all of them is divided: some may be new and not known yet.
	entriesToCome = 2
	// ownBudget is the part of the shared budget of repeats that is used; the
	// rest covers entry hosts that do not know of each other yet.
	ownBudget = 0.7
)
