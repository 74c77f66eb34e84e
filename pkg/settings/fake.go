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
	StoreRate     int64 // bytes per second
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
		required(inifile.Text("kind", &f.Kind, "engine or service", checkFakeKind, "Type of process on the host.")),
		required(inifile.Text("failure_domain", &f.FailureDomain, nameRule, checkName, "Failure domain of the host.")),
		inifile.Text("fabric_domain", &f.FabricDomain, nameRule+", or empty", optional(checkName), "Fabric domain of an engine."),
		inifile.Text("service", &f.Service, nameRule+", or empty", optional(checkName), "Name of the service object that a service belongs to."),
		required(reachable("listen", &f.Listen, "Address of its HTTP interface.")),
		required(addresses("gates", &f.Gates, "Addresses of gates (upstream_listen) that receive its announcements.")),
		inifile.Bool("checks_fence", &f.ChecksFence, "Reject orders with an outdated fencing token."),
		inifile.Bytes("store_rate", &f.StoreRate, 1, 1<<40, "Download rate from the weights store, in bytes per second."),
		inifile.Duration("token_time", &f.TokenTime, 0, time.Minute, "Generation time of one token."),
		inifile.Duration("call_time", &f.CallTime, 0, time.Minute, "Processing time of one service call."),
		inifile.Int("max_batch", &f.MaxBatch, 1, 4096, "Concurrent requests that it handles when warm."),
		inifile.Int("cold_batch", &f.ColdBatch, 1, 4096, "Concurrent requests that it handles just after its start."),
		inifile.Duration("warm_time", &f.WarmTime, 0, time.Hour, "Warm-up time under load."),
		inifile.Int("seed", &f.Seed, 0, 1<<62, "Seed of its random numbers."),
		logLevel(&f.LogLevel),
	}
	return append(fields, f.TLS.fields()...)
}

// Conflicts implements Program.
func (f *Fake) Conflicts() []Conflict {
	list := f.TLS.conflicts([]endpoint{{"listen", f.Listen}})
	if f.Kind == FakeEngine && f.FabricDomain == "" {
		list = append(list, Conflict{"fabric_domain", "is missing; an engine needs a fabric domain"})
	}
	if f.Kind == FakeService && f.Service == "" {
		list = append(list, Conflict{"service", "is missing; a service needs the name of its service object"})
	}
	return list
}
