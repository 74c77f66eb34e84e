package once

import (
	"net"
	"strings"
)

// gateConn is a gate's end of a connection. It injects faults at the steps of a once-only
// call.
type gateConn struct {
	net.Conn
	gate     *gate
	address  string
	wrote    bool
	read     bool
	onceOnly bool // the connection carries a once-only call
}

// Write implements net.Conn.
func (c *gateConn) Write(b []byte) (int, error) {
	if c.wrote {
		return c.Conn.Write(b)
	}
	c.wrote = true
	c.onceOnly = strings.HasPrefix(string(b), "POST ")
	if !c.onceOnly {
		return c.Conn.Write(b)
	}
	if c.gate.isDead() {
		return 0, errProcessDead
	}
	c.gate.checkFirstByte(c.address)
	c.gate.injectAt(beforeFirstByte)
	half := len(b) / 2
	n, err := c.Conn.Write(b[:half])
	if err != nil {
		return n, err
	}
	c.gate.injectAt(midRequest)
	m, err := c.Conn.Write(b[half:])
	if err == nil {
		c.gate.injectAt(afterRequest)
	}
	return n + m, err
}

// Read implements net.Conn.
func (c *gateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.onceOnly && !c.read {
		c.read = true
		c.gate.injectAt(afterAnswer)
	}
	if c.gate.isDead() {
		return 0, errProcessDead
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
