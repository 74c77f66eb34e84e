package once

import (
	"net"
	"strings"
)

// gateConn is a gate's end of a connection, with the steps of a once-only call
// on it.
type gateConn struct {
	net.Conn
	gate    *gate
	address string
	wrote   bool
	read    bool
	ordered bool // it carries a once-only call
}

// Write implements net.Conn.
func (c *gateConn) Write(b []byte) (int, error) {
	if c.wrote {
		return c.Conn.Write(b)
	}
	c.wrote = true
	c.ordered = strings.HasPrefix(string(b), "POST ")
	if !c.ordered {
		return c.Conn.Write(b)
	}
	if c.gate.isDead() {
		return 0, errDead
	}
	c.gate.noteFirstByte(c.address)
	c.gate.strikeAt(beforeFirstByte)
	half := len(b) / 2
	n, err := c.Conn.Write(b[:half])
	if err != nil {
		return n, err
	}
	c.gate.strikeAt(midRequest)
	m, err := c.Conn.Write(b[half:])
	if err == nil {
		c.gate.strikeAt(afterRequest)
	}
	return n + m, err
}

// Read implements net.Conn.
func (c *gateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.ordered && !c.read {
		c.read = true
		c.gate.strikeAt(afterAnswer)
	}
	if c.gate.isDead() {
		return 0, errDead
	}
	return n, err
}

// Close implements net.Conn.
func (c *gateConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
