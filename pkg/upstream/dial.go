package upstream

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	// userTimeout bounds how long sent bytes may stay without an answer of
	// the other end's TCP.
	userTimeout = 3 * time.Second
	// keepAlive finds a dead path of a connection that only reads.
	keepAlive = time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
)

// DialTCP opens a TCP connection that fails when the path behind it is lost.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		Control:         setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 3},
	}
	return d.DialContext(ctx, "tcp", address)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
