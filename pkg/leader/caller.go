package leader

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// ErrNoLeader says that no keeper took the call and nothing was changed.
var ErrNoLeader = eris.New("no keeper leads or none can be reached")

// avoidTime is how long a keeper that could not be reached is left to others to
// pass calls on to.
const avoidTime = 10 * time.Second

// Caller holds one client for each keeper and remembers which one leads. It is
// safe for concurrent use.
type Caller struct {
	dial rpc.DialFunc

	mu      sync.Mutex
	order   []string // addresses to try, in turn
	current string
	clients map[string]*rpc.Client
	failed  map[string]time.Time // when an address was last moved on from
}

// NewCaller returns a caller that starts with the given keepers.
func NewCaller(addresses []string, dial rpc.DialFunc) *Caller {
	return &Caller{
		dial:    dial,
		order:   slices.Clone(addresses),
		current: addresses[0],
		clients: make(map[string]*rpc.Client),
		failed:  make(map[string]time.Time),
	}
}

// Call finds the leader and calls it. A call that may have taken effect is
// not repeated: the error is then rpc.ErrNoReply.
func (c *Caller) Call(ctx context.Context, method control.Method, params, result any) error {
	last := error(ErrNoLeader)
	for range 2 * len(c.addresses()) {
		client := c.client()
		err := client.Call(ctx, string(method), params, result)
		if err == nil {
			return nil
		}
		hint, moved := hintOf(err)
		switch {
		case moved && hint != "":
			c.prefer(hint)
		case moved:
			c.next(client.Address())
		case eris.Is(err, rpc.ErrNotSent):
			c.avoid(client.Address())
		case eris.Is(err, rpc.ErrNoReply):
			c.avoid(client.Address())
			return err
		default:
			return err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return eris.Wrap(ErrNoLeader, last.Error())
}

// CallOnce calls the keeper that is thought to lead, once. After a failure the
// next call goes elsewhere.
func (c *Caller) CallOnce(ctx context.Context, method control.Method, params, result any) error {
	client := c.client()
	err := client.Call(ctx, string(method), params, result)
	if err == nil {
		return nil
	}
	hint, moved := hintOf(err)
	switch {
	case moved && hint != "" && hint != client.Address():
		c.prefer(hint)
	case moved:
		c.next(client.Address())
	default:
		c.avoid(client.Address())
	}
	return err
}

// hintOf tells whether an error says that another keeper leads, and which.
func hintOf(err error) (string, bool) {
	var coded *jsonrpc2.Error
	if !eris.As(err, &coded) || coded.Code != control.CodeNotLeader {
		return "", false
	}
	var n control.NotLeader
	if coded.Data != nil {
		_ = json.Unmarshal(*coded.Data, &n)
	}
	return n.Leader, true
}

func (c *Caller) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order
}

// Address returns the host:port of the keeper that the next call goes to.
func (c *Caller) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *Caller) client() *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[c.current]
	if !ok {
		client = rpc.NewClient(c.current, c.dial)
		c.clients[c.current] = client
	}
	return client
}

// prefer makes an address the one to call, and one to try later on.
func (c *Caller) prefer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = address
	if !slices.Contains(c.order, address) {
		c.order = append(c.order, address)
	}
}

// AddAddress adds an address to those that are tried.
func (c *Caller) AddAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.order, address) {
		c.order = append(c.order, address)
	}
}

// HintLeader tells which keeper leads, as one that passed a call on said. It is
// called from then on, unless it could not be reached a short time ago.
func (c *Caller) HintLeader(address string) {
	c.mu.Lock()
	failed, ok := c.failed[address]
	c.mu.Unlock()
	if ok && time.Since(failed) < avoidTime {
		return
	}
	c.prefer(address)
}

// avoid notes that an address could not be reached, and moves on from it.
func (c *Caller) avoid(address string) {
	c.mu.Lock()
	c.failed[address] = time.Now()
	c.mu.Unlock()
	c.next(address)
}

// next moves on from an address, unless another call already did.
func (c *Caller) next(from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != from {
		return
	}
	i := slices.Index(c.order, from)
	c.current = c.order[(i+1)%len(c.order)]
}

// Close ends all connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}
