package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// quiet tells whether an idle connection is open and holds no bytes: bytes
// that came without a request belong to none.
func (c *conn) quiet() bool {
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return c.reader.Buffered() == 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet && c.reader.Buffered() == 0
}

// announcedIdle returns the idle time that an answer's Keep-Alive header
// gives, 0 when there is none.
func announcedIdle(h http.Header) time.Duration {
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
