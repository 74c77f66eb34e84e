package view

// HostName names one upstream host.
type HostName string

// Incarnation distinguishes the starts of a process on a host. A host that returns
// with another incarnation counts as a new host of the same name.
type Incarnation uint64

// HostKind is the kind of process that runs on an upstream host.
type HostKind string

// Kinds of upstream hosts.
const (
	KindEngine  HostKind = "engine"
	KindService HostKind = "service"
)

// Host is one upstream host as announced.
type Host struct {
	Name          HostName
	Incarnation   Incarnation
	Kind          HostKind
	Address       string // host:port of its HTTP interface; host is an IP address
	FailureDomain string
	FabricDomain  string
	Service       string // service object of a KindService host
	ChecksFence   bool   // whether the engine rejects orders with an old fencing number
	Drained       bool   // whether an operator drained it or its failure domain
	Leaving       bool   // whether it announced that it is about to stop
}
