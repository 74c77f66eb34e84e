package entry

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// Config configures an entry host.
type Config struct {
	Name          string   // unique name of this process
	Zone          string   // failure domain
	Coordinators  []string // host:port of known coordinators
	PlacerAddress string   // host:port at which it places requests of other entry hosts; empty if it does not
	RelayAddress  string   // host:port at which RelayHandler is served for other entry hosts; empty if it is not
	Headers       Headers
	// Decode parses a document.
	Decode func(raw []byte) (*catalog.Set, error)

	RetryRatio  float64 // retries per request to a service, over all entry hosts
	RetryBurst  float64 // retries beyond the ratio in a window, over all entry hosts
	ColdFactor  float64 // multiplies the request rate that a cold upstream may get
	ColdSlack   float64 // added to that rate, in requests per second
	BodyMemory  int64   // bytes of request bodies that are held at once; 0: no bound
	Dial        rpc.DialFunc
	DialBackend upstream.DialFunc
	Clock       clock.Clock
	Logger      *log.Logger
}

const (
	// syncWait is how long the coordinator holds a sync call that has no news. It bounds the age of
	// the request counts of other entry hosts.
	syncWait = 250 * time.Millisecond
	// syncWaitPerEntryHost scales the wait with the number of entry hosts, up to maxSyncWait: 15 ms
	// each keeps the load on a small coordinator host sustainable.
	maxSyncWait          = time.Second
	syncWaitPerEntryHost = 15 * time.Millisecond
	// syncTimeout bounds a sync call beyond its wait; after that another coordinator is tried.
	syncTimeout = 700 * time.Millisecond
	// syncRetry is the mean delay after a failed sync call. It doubles with each failure in a row up to
	// maxSyncRetry, so that coordinators that fall behind are not called more often than others.
	syncRetry    = 50 * time.Millisecond
	maxSyncRetry = 400 * time.Millisecond
	// missingTimeout is how long an upstream unknown to a settled leader is kept.
	missingTimeout = 3 * time.Second

	// streamingHeadTimeout is the silence after which streams of a head that was sending events are
	// resumed elsewhere: an engine pass with prompt processing in all steps takes up to 300 ms.
	streamingHeadTimeout = 400 * time.Millisecond
	// firstEventTimeout applies to a stream without events so far: the prompts of other requests
	// may be processed first.
	firstEventTimeout = 800 * time.Millisecond
	// firstEventTimeoutPerPrompt extends firstEventTimeout for each prompt pending at the head.
	firstEventTimeoutPerPrompt = 40 * time.Millisecond
	// maxTimeoutDoublings bounds how often false suspicions double the timeout of a head.
	maxTimeoutDoublings = 2
	// singleStreamTimeout is the silence of a stream after which it is resumed elsewhere although
	// the head sends events of other streams.
	singleStreamTimeout = 1200 * time.Millisecond
	// streamCheckInterval is the time between checks of a silent stream.
	streamCheckInterval = 150 * time.Millisecond
	// suspectDuration is how long a suspected head gets no new requests.
	suspectDuration = time.Second
	// minBackoff and maxBackoff bound the time without new requests after a failure of an upstream.
	// It doubles with each consecutive failure.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 3 * time.Second
	// attemptTimeShare is the share of the remaining time after which a repeatable request is tried
	// on another upstream.
	attemptTimeShare = 0.4

	// maxBufferedAnswer is the number of bytes read before an answer is forwarded, so that an
	// answer that breaks off can be replaced by a retry.
	maxBufferedAnswer = 256 << 10
	// MaxMessage is the size of a message of coordinators and other entry hosts that an entry host reads, in
	// bytes. A document, packed, is the largest part of one.
	MaxMessage = 16 << 20
	// maxIdleReuse is the idle time up to which an upstream connection is used without a probe: the
	// other end may have closed an older one unnoticed.
	maxIdleReuse            = 1500 * time.Millisecond
	maxIdleConnsPerUpstream = 12
	// upstreamIdleTimeout closes an upstream connection that is silent. The stream timeouts above
	// act before it.
	upstreamIdleTimeout = 20 * time.Second

	// undiscoveredEntryHosts is added to the number of entry hosts when a shared limit is divided:
	// new ones may not be known yet.
	undiscoveredEntryHosts = 2
	// retryBudgetShare is the share of the retry budget that is used; the rest covers entry hosts
	// that do not know of each other yet.
	retryBudgetShare = 0.7
)
