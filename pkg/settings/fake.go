package settings

import (
	"fmt"
	"time"

	"github.com/sesamemux/sesamemux/pkg/inifile"
	"github.com/sesamemux/sesamemux/pkg/logging"
)

// Kinds of a fake upstream.
const (
	FakeEngine  = "engine"
	FakeService = "service"
)

// Fake holds the settings of sesame-fake.
type Fake struct {
	Name          string
	Kind          string
	FailureDomain string
	FabricDomain  string
	Service       string
	Listen        string
	Gates         []string
	ChecksFence   bool
	StoreRate     int64 // bytes a second
	TokenTime     time.Duration
	CallTime      time.Duration
	MaxBatch      int
	ColdBatch     int
	WarmTime      time.Duration
	Seed          uint64
	LogLevel      logging.Level
	TLS           TLS
}

// Section implements Program.
func (f *Fake) Section() string { return "fake" }

func (f *Fake) setDefaults() {
	f.Kind = FakeEngine
	f.Listen = "127.0.0.1:0"
	f.ChecksFence = true
	f.StoreRate = 8 << 30
	f.TokenTime = 5 * time.Millisecond
	f.CallTime = 5 * time.Millisecond
	f.MaxBatch = 64
	f.ColdBatch = 4
	f.WarmTime = 10 * time.Second
	f.Seed = 1
	f.LogLevel = logging.Info
}

func checkFakeKind(s string) error {
	if s != FakeEngine && s != FakeService {
		return fmt.Errorf("%q is neither %s nor %s", s, FakeEngine, FakeService)
	}
	return nil
}

// Fields implements Program.
func (f *Fake) Fields() []inifile.Field {
	fields := []inifile.Field{
		required(inifile.Text("name", &f.Name, nameRule, checkName, "Name of this upstream host.")),
		required(inifile.Text("kind", &f.Kind, "engine or service", checkFakeKind, "What runs on the host.")),
		required(inifile.Text("failure_domain", &f.FailureDomain, nameRule, checkName, "Failure domain that the host stands in.")),
		inifile.Text("fabric_domain", &f.FabricDomain, nameRule+", or empty", optional(checkName), "Fabric domain of an engine."),
		inifile.Text("service", &f.Service, nameRule+", or empty", optional(checkName), "Service object of a service."),
		required(reachable("listen", &f.Listen, "Address of its HTTP interface.")),
		required(addresses("gates", &f.Gates, "Addresses of gates (upstream_listen) that it announces itself to.")),
		inifile.Bool("checks_fence", &f.ChecksFence, "Refuse orders with an old fencing number."),
		inifile.Bytes("store_rate", &f.StoreRate, 1, 1<<40, "Bytes a second from the weights store."),
		inifile.Duration("token_time", &f.TokenTime, 0, time.Minute, "Time of one token."),
		inifile.Duration("call_time", &f.CallTime, 0, time.Minute, "Time of one call to a service."),
		inifile.Int("max_batch", &f.MaxBatch, 1, 4096, "Requests that it bears when warm."),
		inifile.Int("cold_batch", &f.ColdBatch, 1, 4096, "Requests that it bears just after its start."),
		inifile.Duration("warm_time", &f.WarmTime, 0, time.Hour, "Time from cold to warm under work."),
		inifile.Int("seed", &f.Seed, 0, 1<<62, "Seed of what it draws."),
		logLevel(&f.LogLevel),
	}
	return append(fields, f.TLS.fields()...)
}

// Conflicts implements Program.
func (f *Fake) Conflicts() []Conflict {
	list := f.TLS.conflicts([]endpoint{{"listen", f.Listen}})
	if f.Kind == FakeEngine && f.FabricDomain == "" {
		list = append(list, Conflict{"fabric_domain", "is missing; an engine stands in a fabric domain"})
	}
	if f.Kind == FakeService && f.Service == "" {
		list = append(list, Conflict{"service", "is missing; a service names its service object"})
	}
	return list
}
