package timeline

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	ProcessStarted     Kind = "process-started"
	ProcessStopping    Kind = "process-stopping"
	LeaderElected      Kind = "leader-elected"
	ChangeAccepted     Kind = "change-accepted"
	ChangeRefused      Kind = "change-refused"
	ChangeInForce      Kind = "change-in-force" // on every gate that may accept requests
	ViewPublished      Kind = "view-published"
	ViewInstalled      Kind = "view-installed"
	LeaseGranted       Kind = "lease-granted"
	LeaseLapsed        Kind = "lease-lapsed"
	DrainStarted       Kind = "drain-started"
	DrainEnded         Kind = "drain-ended"
	UpstreamHeard      Kind = "upstream-heard"
	UpstreamLeaving    Kind = "upstream-leaving"
	UpstreamGone       Kind = "upstream-gone"
	GroupFormed        Kind = "group-formed"
	GroupState         Kind = "group-state"
	OrderSent          Kind = "order-sent"
	OrderEnded         Kind = "order-ended"
	RequestAdmitted    Kind = "request-admitted"
	RequestRefused     Kind = "request-refused"
	RequestSent        Kind = "request-sent" // one attempt on one host
	RequestBroken      Kind = "request-broken"
	RequestFinished    Kind = "request-finished"
	RequestHandedOver  Kind = "request-handed-over" // to a gate that holds permits
	QuarantineStarted  Kind = "quarantine-started"
	QuarantineReleased Kind = "quarantine-released"
	KeeperReplaced     Kind = "keeper-replaced"
)
