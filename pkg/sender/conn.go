package sender

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stateEstablished is the state of a TCP connection that neither side has closed.
const stateEstablished = 1

// WithConn returns a context for the requests that are received over a connection. The kernel knows the
// state of a TCP connection also of the time in which this process did not run. Others are not looked at.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	return WithState(ctx, func() (State, error) {
		info, err := tcpInfo(conn)
		if err != nil {
			return State{}, err
		}
		return State{Closed: info.State != stateEstablished, Silent: time.Duration(info.Last_data_recv) * time.Millisecond}, nil
	})
}

func tcpInfo(conn syscall.Conn) (info *unix.TCPInfo, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return nil, controlErr
	}
	return info, err
}
