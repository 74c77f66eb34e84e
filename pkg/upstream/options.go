package upstream

import (
	"context"
	"net"
	"sync"
	"time"
)

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Options sets a pool.
type Options struct {
	Dial     DialFunc
	SendLock *sync.RWMutex // see the package's contract; nil: none
	// ProbePath is a GET path that a live connection answers. Without one a
	// connection is used again only while it has been idle for less than
	// ProbeAfter and than half of what the upstream announced, and is quiet.
	ProbePath          string
	ProbeTimeout       time.Duration // for dialling and probing, each; default 500 ms
	ProbeAfter         time.Duration // idle time after which a connection is probed; default 1 s
	IdleTimeout        time.Duration // idle time after which a connection is closed; default 60 s
	MaxIdlePerUpstream int           // idle connections kept for each upstream; default 64
	FirstByteTimeout   time.Duration // from the request to the first byte of its answer; default 10 s
	StallTimeout       time.Duration // between two bytes of an answer; default 3 s
	WriteTimeout       time.Duration // for writing the request; default 3 s
}

const (
	defaultProbeTimeout = 500 * time.Millisecond
	defaultProbeAfter   = time.Second
	defaultIdleTimeout  = time.Minute
	defaultMaxIdle      = 64
	defaultFirstByte    = 10 * time.Second
	defaultStall        = 3 * time.Second
	defaultWriteTimeout = 3 * time.Second
)

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.ProbeAfter, defaultProbeAfter)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.FirstByteTimeout, defaultFirstByte)
	setDefault(&o.StallTimeout, defaultStall)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	if o.MaxIdlePerUpstream == 0 {
		o.MaxIdlePerUpstream = defaultMaxIdle
	}
	if o.Dial == nil {
		o.Dial = DialTCP
	}
	if o.SendLock == nil {
		o.SendLock = &sync.RWMutex{}
	}
	return o
}
