package serviceproxy

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Defaults of Config.
const (
	DefaultMaxBodyBytes   = 8 << 20  // largest request body
	DefaultMaxAnswerBytes = 32 << 20 // largest answer to a once-only call that is relayed
	DefaultMaxPending     = 1024     // conclusions being recorded in the background
	defaultCallTimeout    = 30 * time.Second
)

// Config configures a Proxy. View, Lease, Records and Permits must be set.
type Config struct {
	Gate           view.GateName
	Incarnation    view.Incarnation
	View           func() *view.View
	Lease          Lease
	Records        Records
	Permits        Permits
	Timeline       Timeline              // nil: events are discarded
	TimelineStamp  func() string         // returns the timeline stamp sent to peers; nil: none is sent
	Transport      *plaincall.Transport  // nil: plain TCP connections
	Logger         *log.Logger           // nil: none
	Registerer     prometheus.Registerer // nil: metrics are kept but not registered
	MaxBodyBytes   int64                 // 0: DefaultMaxBodyBytes
	MaxAnswerBytes int64                 // 0: DefaultMaxAnswerBytes
	MaxPending     int                   // 0: DefaultMaxPending

	Unsafe Unsafe
}

// Unsafe turns off protections, for tests that check that each is needed.
type Unsafe struct {
	NoIntent       bool // run once-only calls without recording an intent
	ResendUnknown  bool // resend calls of unknown outcome
	NoPreSendCheck bool // skip the check of lease, host and permit before the first byte
	TrustStatus    bool // treat statuses of unknown outcome, such as 503, as not-run
}
