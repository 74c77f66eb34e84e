package group

// Cause says why a wanted group takes no work.
type Cause int

// The causes, in the order in which missing copies are attributed to them.
const (
	CauseMemberSilent     Cause = iota // a member was not heard of
	CauseMemberRestarted               // a member came back as a new incarnation
	CauseMemberFault                   // a member reported another role or a failure
	CauseAllMembersSilent              // no member was heard of
	CauseRollout                       // it changes its version or adapters
	CauseDrain                         // an operator took a member or its domain out
	CauseFormation                     // it was formed and has not served yet
	CauseUnplaced                      // no hosts for it
	causes
)

var causeNames = [causes]string{
	"member-silent", "member-restarted", "member-wrong", "domain-dark",
	"rollout", "drain", "formation", "unplaced",
}

// String gives the cause's name as in metrics.
func (c Cause) String() string {
	if c < 0 || c >= causes {
		return "unknown"
	}
	return causeNames[c]
}
