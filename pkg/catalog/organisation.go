package catalog

// Organisation is a customer with its API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int // overrides the route's priority; nil: no override
}
