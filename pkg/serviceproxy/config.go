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
	DefaultMaxBodyBytes   = 8 << 20  // bytes of a caller's body
	DefaultMaxAnswerBytes = 32 << 20 // bytes of a once-only answer that are relayed
	DefaultMaxPending     = 1024     // conclusions that are tried again in the background
	defaultCallTimeout    = 30 * time.Second
)

// Config holds what a Proxy works with. View, Lease, Records and Permits must
// be set.
type Config struct {
	Gate           view.GateName
	Incarnation    view.Incarnation
	View           func() *view.View
	Lease          Lease
	Records        Records
	Permits        Permits
	Timeline       Timeline              // nil: none
	TimelineStamp  func() string         // stamp of the time line for peers; nil: none is sent
	Transport      *plaincall.Transport  // nil: over TCP
	Logger         *log.Logger           // nil: none
	Registerer     prometheus.Registerer // nil: metrics are kept but not registered
	MaxBodyBytes   int64                 // 0: DefaultMaxBody
	MaxAnswerBytes int64                 // 0: DefaultMaxAnswer
	MaxPending     int                   // 0: DefaultMaxPending

	Unsafe Unsafe
}

// Unsafe switches protections off. Only proofs set it.
type Unsafe struct {
	NoIntent       bool // once-only calls run without a record
	ResendUnknown  bool // a call of unknown outcome is sent again
	NoPreSendCheck bool // lease and host aren't checked before the first byte
	TrustStatus    bool // an answer such as 503 counts as not run
}
