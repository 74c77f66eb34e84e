package routing

// Version keeps groups of the version that started the answer.
type Version struct{}

// Name returns the plugin's name.
func (Version) Name() string { return "version" }

// Keep reports whether the group runs the version, if one is required.
func (Version) Keep(r *Request, c *Candidate) bool {
	return r.Version == "" || r.Version == c.Group.Version
}
