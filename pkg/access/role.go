package access

// Role is the role of a process or person in the deployment.
type Role string

// The roles.
const (
	Operator Role = "operator"
	Keeper   Role = "keeper"
	Gate     Role = "gate"
	Upstream Role = "upstream"
)

// Check returns ErrInvalidIdentity unless the role is one of the constants.
func (r Role) Check() error {
	switch r {
	case Operator, Keeper, Gate, Upstream:
		return nil
	}
	return ErrInvalidIdentity
}
