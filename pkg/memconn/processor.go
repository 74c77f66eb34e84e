package memconn

import "time"

// processor models a host whose processor is the bottleneck: it handles one message at a time, in
// the order in which they were written.
type processor struct {
	perMessage time.Duration
	perKiB     time.Duration
	free       time.Time // when it has handled everything so far
}

// LimitProcessor makes a host spend time on each message that it sends or receives. Messages wait
// until those before them are handled.
func (n *Network) LimitProcessor(host string, perMessage, perKiB time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processors[host] = &processor{perMessage: perMessage, perKiB: perKiB}
}

// FreeProcessor ends LimitProcessor.
func (n *Network) FreeProcessor(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.processors, host)
}

// handle returns when a message that is there at a time has been handled.
func (p *processor) handle(at time.Time, size int) time.Time {
	if p == nil {
		return at
	}
	if p.free.After(at) {
		at = p.free
	}
	p.free = at.Add(p.perMessage + p.perKiB*time.Duration(size)/1024)
	return p.free
}

// arrival returns when a message that is written at a time can be read at the other end.
func (n *Network) arrival(at time.Time, d direction, size int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := n.processors[d.from].handle(at, size)
	return n.processors[d.to].handle(sent.Add(n.latency), size)
}
