package upstream

import (
	"context"
	"net"
	"sync"
	"time"
)

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Options configures a pool. Zero values select the defaults.
type Options struct {
	Dial     DialFunc
	SendLock *sync.RWMutex // held for reading during BeforeSend and the first write; nil: none
	// ProbePath is a path that the upstream answers to a GET. If it is empty, a
	// connection is reused only if it has been idle for less than ProbeAfter and less
	// than half of the idle timeout that the upstream announced, is still open and
	// holds no unread bytes.
	ProbePath          string
	ProbeTimeout       time.Duration // for dialling and for each probe; default 500 ms
	ProbeAfter         time.Duration // idle time after which a connection is probed; default 1 s
	IdleTimeout        time.Duration // idle time after which a connection is closed; default 60 s
	MaxIdlePerUpstream int           // idle connections kept for each upstream; default 64
	FirstByteTimeout   time.Duration // from the request to the first byte of the response; default 10 s
	StallTimeout       time.Duration // between two bytes of the response; default 3 s
	WriteTimeout       time.Duration // for writing the request; default 3 s
}

const (
	defaultProbeTimeout     = 500 * time.Millisecond
	defaultProbeAfter       = time.Second
	defaultIdleTimeout      = time.Minute
	defaultMaxIdle          = 64
	defaultFirstByteTimeout = 10 * time.Second
	defaultStallTimeout     = 3 * time.Second
	defaultWriteTimeout     = 3 * time.Second
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
	setDefault(&o.FirstByteTimeout, defaultFirstByteTimeout)
	setDefault(&o.StallTimeout, defaultStallTimeout)
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
