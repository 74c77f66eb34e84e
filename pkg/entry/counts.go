package entry

// counts are requests at an upstream.
type counts struct {
	requests int
	unread   int // those from which nothing has come yet
	tokens   int // of the prompts of those
}

func (c *counts) add(tokens int) {
	c.requests++
	c.unread++
	c.tokens += tokens
}

// begun notes that the answer to one of them began.
func (c *counts) begun(tokens int) {
	c.unread--
	c.tokens -= tokens
}

// ended takes one of them off.
func (c *counts) ended(tokens int, begun bool) {
	c.requests--
	if !begun {
		c.begun(tokens)
	}
}
