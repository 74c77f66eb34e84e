package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// roundTrip is that between the system and its requesters and operators: 3 ms one way.
const roundTrip = 6 * time.Millisecond

// link is the path from an operator to one address. While it is cut it holds up what is sent, and drops the
// answers. A close arrives one round trip behind the bytes that were held up before it, as with TCP, which sends
// further segments once the first one that it repeats is acknowledged.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed chan struct{} // closed while the link is whole
}

func newLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, healed: make(chan struct{})}
	close(k.healed)
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
}

// await waits while the link is cut. It reports whether it was.
func (k *link) await() bool {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	select {
	case <-healed:
		return false
	default:
		<-healed
		return true
	}
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.relay(c)
	}
}

func (k *link) relay(c net.Conn) {
	u, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = c.Close()
		return
	}
	go func() {
		_, _ = io.Copy(c, u)
		_ = c.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := c.Read(buf)
		if n > 0 {
			held := k.await()
			if _, err := u.Write(buf[:n]); err != nil {
				break
			}
			if held {
				time.Sleep(roundTrip)
			}
		}
		if err != nil {
			break
		}
	}
	_ = u.Close()
}

func (k *link) close() { _ = k.listener.Close() }
