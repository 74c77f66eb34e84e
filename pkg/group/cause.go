package group

// Cause says why a wanted group takes no work.
type Cause int

// The causes, in the order in which missing copies are attributed to them.
const (
	CauseMemberSilent     Cause = iota // a member is not heard from
	CauseMemberRestarted               // a member returned as a new incarnation
	CauseMemberFault                   // a member reported another role or a failure
	CauseAllMembersSilent              // no member is heard from
	CauseRollout                       // its version or adapters are being changed
	CauseDrain                         // an operator drained a member or its failure domain
	CauseFormation                     // formed and not served yet
	CauseUnplaced                      // no hosts are available for it
	causes
)

var causeNames = [causes]string{
	"member-silent", "member-restarted", "member-wrong", "domain-dark",
	"rollout", "drain", "formation", "unplaced",
}

// String returns the cause's name as used in metrics.
func (c Cause) String() string {
	if c < 0 || c >= causes {
		return "unknown"
	}
	return causeNames[c]
}
