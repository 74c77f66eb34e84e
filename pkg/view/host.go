package view

// HostName names one upstream host.
type HostName string

// Incarnation tells one start of a process on a host from the next. A host
// that comes back with another incarnation is a new host with an old name.
type Incarnation uint64

// HostKind says what runs on an upstream host.
type HostKind string

// The kinds of upstream hosts.
const (
	KindEngine  HostKind = "engine"
	KindService HostKind = "service"
)

// Host is one upstream host as it announced itself.
type Host struct {
	Name          HostName
	Incarnation   Incarnation
	Kind          HostKind
	Address       string // host:port of its HTTP interface, by IP number
	FailureDomain string
	FabricDomain  string
	Service       string // for KindService: the service object that it belongs to
	ChecksFence   bool   // the engine refuses orders with an old fencing number
	Drained       bool   // taken out by an operator, itself or with its failure domain
	Leaving       bool   // announced that it is about to stop
}
