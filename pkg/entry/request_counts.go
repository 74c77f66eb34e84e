package entry

// requestCounts counts requests assigned to an upstream.
type requestCounts struct {
	requests       int
	pendingPrompts int // requests without any response data yet
	pendingTokens  int // prompt tokens of those requests
}

func (c *requestCounts) add(tokens int) {
	c.requests++
	c.pendingPrompts++
	c.pendingTokens += tokens
}

// responseStarted records the first response data of a request.
func (c *requestCounts) responseStarted(tokens int) {
	c.pendingPrompts--
	c.pendingTokens -= tokens
}

// remove subtracts a request that ended.
func (c *requestCounts) remove(tokens int, responseStarted bool) {
	c.requests--
	if !responseStarted {
		c.responseStarted(tokens)
	}
}
