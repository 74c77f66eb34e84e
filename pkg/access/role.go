package access

// Role is what a process or person is to the deployment.
type Role string

// The roles.
const (
	Operator Role = "operator"
	Keeper   Role = "keeper"
	Gate     Role = "gate"
	Upstream Role = "upstream"
)

// Check tells whether the role is known.
func (r Role) Check() error {
	switch r {
	case Operator, Keeper, Gate, Upstream:
		return nil
	}
	return ErrInvalidIdentity
}
