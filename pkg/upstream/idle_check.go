package upstream

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// openAndEmpty reports whether an idle connection is open and has no unread bytes. A
// connection with unread bytes must not be reused, as they belong to no request.
func (c *conn) openAndEmpty() bool {
	inner := c.raw
	if w, ok := inner.(interface{ NetConn() net.Conn }); ok {
		inner = w.NetConn()
	}
	sc, ok := inner.(syscall.Conn)
	if !ok {
		return c.reader.Buffered() == 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty && c.reader.Buffered() == 0
}

// keepAliveTimeout returns the idle timeout given in the Keep-Alive header of a
// response, or 0 if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
