package routing

// Version keeps groups of the version that began an answer.
type Version struct{}

// Name returns the plugin's name.
func (Version) Name() string { return "version" }

// Keep tells whether the group runs the version.
func (Version) Keep(r *Request, c *Candidate) bool {
	return r.Version == "" || r.Version == c.Group.Version
}
