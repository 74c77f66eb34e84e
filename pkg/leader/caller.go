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

// ErrNoLeader is returned when no keeper accepted the call and nothing changed.
var ErrNoLeader = eris.New("no keeper is the leader or none can be reached")

// unreachableBackoff is how long hints to a keeper that could not be reached are
// ignored, so that calls go through the other keepers.
const unreachableBackoff = 10 * time.Second

// lostLeaderBackoff is how long a keeper that could not be reached is not followed as the leader that
// others name: they still name a lost one until the next election.
const lostLeaderBackoff = 2 * time.Second

// namedTTL is how long an address that others named is tried before those that nobody names any more.
const namedTTL = 10 * time.Second

// Caller holds one client for each keeper and remembers which one leads. It is
// safe for concurrent use.
type Caller struct {
	dial    rpc.DialFunc
	options []rpc.ClientOption

	mu         sync.Mutex
	candidates []string // addresses, tried in turn
	current    string
	excluded   string
	clients    map[string]*rpc.Client
	failedAt   map[string]time.Time // time of the last connection failure, by address
	namedAt    map[string]time.Time // when others named the address last as that of a keeper
	tried      int                  // keepers named lately that were tried in succession
	nextOther  int                  // index of the next one of the others
}

// NewCaller returns a caller that starts with the given keepers.
func NewCaller(addresses []string, dial rpc.DialFunc, options ...rpc.ClientOption) *Caller {
	return &Caller{
		dial:       dial,
		options:    options,
		candidates: slices.Clone(addresses),
		current:    addresses[0],
		clients:    make(map[string]*rpc.Client),
		failedAt:   make(map[string]time.Time),
		namedAt:    make(map[string]time.Time),
	}
}

// Exclude keeps calls from being directed to an address: the own one of a process that is a keeper itself,
// which other keepers may still name as the leader.
func (c *Caller) Exclude(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.excluded = address
}

// Call finds the leader and calls it. It does not repeat a call that may have
// taken effect, and returns rpc.ErrNoReply then.
func (c *Caller) Call(ctx context.Context, method control.Method, params, result any) error {
	last := error(ErrNoLeader)
	for range 2 * len(c.Addresses()) {
		client := c.client()
		err := client.Call(ctx, string(method), params, result)
		if err == nil {
			return nil
		}
		hint, moved := leaderHint(err)
		switch {
		case moved:
			c.follow(hint, client.Address())
		case eris.Is(err, rpc.ErrNotSent):
			c.markUnreachable(client.Address())
		case eris.Is(err, rpc.ErrNoReply):
			c.markUnreachable(client.Address())
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

// CallOnce sends one call to the presumed leader. After a failure the next call
// goes to another keeper.
func (c *Caller) CallOnce(ctx context.Context, method control.Method, params, result any) error {
	client := c.client()
	err := client.Call(ctx, string(method), params, result)
	if err == nil {
		return nil
	}
	var answer *jsonrpc2.Error
	if hint, moved := leaderHint(err); moved {
		c.follow(hint, client.Address())
	} else if eris.As(err, &answer) {
		c.advanceFrom(client.Address())
	} else {
		c.markUnreachable(client.Address())
	}
	return err
}

// CallAt sends one call to an address, whatever its outcome means for calls to the presumed leader.
func (c *Caller) CallAt(ctx context.Context, address string, method control.Method, params, result any) error {
	return c.clientFor(address).Call(ctx, string(method), params, result)
}

// leaderHint reports whether an error says that another keeper leads, and returns
// its address if the error names it.
func leaderHint(err error) (string, bool) {
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

// Addresses returns the keepers that are known.
func (c *Caller) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.candidates)
}

// Address returns the host:port that the next call goes to.
func (c *Caller) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *Caller) client() *rpc.Client { return c.clientFor(c.Address()) }

func (c *Caller) clientFor(address string) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = rpc.NewClient(address, c.dial, c.options...)
		c.clients[address] = client
	}
	return client
}

// follow directs the next call to the leader that a keeper names, or to the next candidate if it names
// none but itself.
func (c *Caller) follow(hint, from string) {
	if hint == "" || hint == from || c.failedWithin(hint, lostLeaderBackoff) || !c.setCurrent(hint) {
		c.advanceFrom(from)
	}
}

// setCurrent directs the next call to an address and adds it to the candidates. It reports whether calls may
// go there.
func (c *Caller) setCurrent(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.excluded {
		return false
	}
	c.current = address
	c.addCandidate(address)
	return true
}

// AddAddress adds an address to the candidates, unless it is excluded.
func (c *Caller) AddAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != c.excluded {
		c.addCandidate(address)
	}
}

// addCandidate adds an address that others name to the candidates once. The caller holds the lock.
func (c *Caller) addCandidate(address string) {
	c.namedAt[address] = time.Now()
	if !slices.Contains(c.candidates, address) {
		c.candidates = append(c.candidates, address)
	}
}

// HintLeader directs further calls to the leader that another keeper named, unless
// that address was unreachable a short time ago.
func (c *Caller) HintLeader(address string) {
	if !c.failedWithin(address, unreachableBackoff) {
		c.setCurrent(address)
	}
}

// failedWithin reports whether an address could not be reached a short time ago.
func (c *Caller) failedWithin(address string, period time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return within(c.failedAt, address, period)
}

// markUnreachable records a connection failure of an address and moves on.
func (c *Caller) markUnreachable(address string) {
	c.mu.Lock()
	c.failedAt[address] = time.Now()
	c.mu.Unlock()
	c.advanceFrom(address)
}

// advanceFrom moves on to the next candidate, unless another call already did.
func (c *Caller) advanceFrom(from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != from {
		return
	}
	c.current = c.next(from)
}

// within reports whether something happened to an address within a period before now.
func within(times map[string]time.Time, address string, period time.Duration) bool {
	at, ok := times[address]
	return ok && time.Since(at) < period
}

// next returns the candidate to try after another one: those named lately in turn, and after each round of
// them one of the others, which may be gone for good. The caller holds the lock.
func (c *Caller) next(from string) string {
	var named, others []string
	for _, a := range c.candidates {
		if within(c.namedAt, a, namedTTL) && !within(c.failedAt, a, lostLeaderBackoff) {
			named = append(named, a)
		} else {
			others = append(others, a)
		}
	}
	if len(named) == 0 {
		return others[(slices.Index(others, from)+1)%len(others)]
	}
	if c.tried++; c.tried >= len(named) && len(others) > 0 && slices.Contains(named, from) {
		c.tried = 0
		c.nextOther++
		return others[(c.nextOther-1)%len(others)]
	}
	return named[(slices.Index(named, from)+1)%len(named)]
}

// Close closes all connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}
