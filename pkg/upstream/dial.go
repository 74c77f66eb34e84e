package upstream

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	// ackTimeout limits how long sent bytes may remain unacknowledged by the peer's
	// TCP.
	ackTimeout = 3 * time.Second
	// keepAliveInterval detects a lost path on a connection that only reads.
	keepAliveInterval = time.Second
	// optTCPUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
	optTCPUserTimeout = 18
)

// DialTCP opens a TCP connection that fails once the network path is lost.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		Control:         setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3},
	}
	return d.DialContext(ctx, "tcp", address)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
