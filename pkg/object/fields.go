package object

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/inifile"
)

// Limits of field values.
const (
	maxHosts     = 100_000
	maxCopies    = 4096
	maxPerGroup  = 16
	maxPriority  = 9
	maxInFlight  = 4096
	maxWeight    = 1000
	maxQueued    = 100_000
	maxRecords   = 10_000_000
	maxRamp      = time.Hour
	maxGrace     = 10 * time.Minute
	maxTimeout   = time.Hour
	minRetention = time.Minute
	maxRetention = 366 * 24 * time.Hour
	maxAnswer    = 1 << 20 // bytes
)

const (
	pathRule     = `a path that starts with "/"`
	digestRule   = "64 hexadecimal digits in lower case"
	nameListRule = "names, separated by commas"
)

func required(f inifile.Field) inifile.Field {
	f.Required = true
	return f
}

// The fields methods bind each object's fields to their keys, in the order of the
// canonical text.

func (d *FailureDomain) fields() []inifile.Field {
	return []inifile.Field{
		required(inifile.Text("region", &d.Region, nameRule, checkOptionalName, "Region that contains it.")),
	}
}

func (d *FabricDomain) fields() []inifile.Field {
	return []inifile.Field{
		required(inifile.Text("failure_domain", &d.FailureDomain, nameRule, checkOptionalName, "Failure domain that contains it.")),
		required(inifile.Int("hosts", &d.Hosts, 1, maxHosts, "Expected number of hosts.")),
	}
}

func (v *Version) fields() []inifile.Field {
	return []inifile.Field{
		required(inifile.Text("model", &v.Model, nameRule, checkOptionalName, "Model that this is a version of.")),
		inifile.Bytes("weights_bytes", &v.WeightsBytes, 1, tib, "Bytes that each member fetches from the weights store."),
	}
}

func (a *Adapter) fields() []inifile.Field {
	return []inifile.Field{
		required(inifile.Text("model", &a.Model, nameRule, checkOptionalName, "Model that the adapter is for.")),
		required(inifile.Strings("versions", &a.Versions, nameListRule, CheckName, "Versions of the model that it is compatible with.")),
	}
}

func (m *ModelGroup) fields() []inifile.Field {
	return []inifile.Field{
		required(inifile.Text("version", &m.Version, nameRule, checkOptionalName, "Version that its groups serve.")),
		inifile.Strings("adapters", &m.Adapters, nameListRule, CheckName, "Adapters that its groups load."),
		inifile.Int("copies", &m.Copies, 1, maxCopies, "Desired number of groups."),
		inifile.Int("minimum", &m.Minimum, 0, maxCopies, "Minimum number of serving groups that changes initiated by the system leave."),
		inifile.Int("hosts_per_group", &m.HostsPerGroup, 1, maxPerGroup, "Number of hosts per group, all in one fabric domain."),
		inifile.Strings("failure_domains", &m.FailureDomains, nameListRule, CheckName, "Failure domains in which groups may be placed; empty means any."),
		inifile.Int("priority", &m.Priority, 0, maxPriority, "Loading priority among model groups; higher values load first."),
		inifile.Int("max_in_flight", &m.MaxInFlight, 1, maxInFlight, "Maximum number of requests in flight on a group after its ramp-up."),
		inifile.Int("cold_in_flight", &m.ColdInFlight, 1, maxInFlight, "Maximum number of requests in flight on a newly started group."),
		inifile.Duration("ramp_time", &m.RampTime, 0, maxRamp, "Minimum duration of the ramp-up from cold_in_flight to max_in_flight."),
		inifile.Duration("pause_grace", &m.PauseGrace, 0, maxGrace, "How long to wait for a member that does not respond."),
	}
}

func (s *Service) fields() []inifile.Field {
	return []inifile.Field{
		inifile.List("once_only", &s.OnceOnly, "calls such as POST /bill, separated by commas", parseCall, formatCall, checkCall, "Calls that must not be executed more than once, as method and path prefix."),
		inifile.Text("key_header", &s.KeyHeader, "a header name", checkHeader, "Request header that carries the caller's idempotency key of a once-only call."),
		inifile.Text("outcome_path", &s.OutcomePath, pathRule, checkOptionalPath, "Path on the service that returns the outcome for a key; empty if there is none."),
		inifile.Duration("timeout", &s.Timeout, time.Millisecond, maxTimeout, "Timeout of one call."),
		inifile.Duration("retention", &s.Retention, minRetention, maxRetention, "Retention period of once-only records."),
		inifile.Int("max_records", &s.MaxRecords, 1, maxRecords, "Maximum number of once-only records."),
		inifile.Bytes("max_answer_bytes", &s.MaxAnswer, 0, maxAnswer, "Maximum size of a recorded response; the content of larger ones is not kept."),
		inifile.Int("max_in_flight", &s.MaxInFlight, 1, maxInFlight, "Maximum number of requests in flight on a host after its ramp-up."),
		inifile.Int("cold_in_flight", &s.ColdInFlight, 1, maxInFlight, "Maximum number of requests in flight on a newly started host."),
		inifile.Duration("ramp_time", &s.RampTime, 0, maxRamp, "Minimum duration of the ramp-up from cold_in_flight to max_in_flight."),
		inifile.Strings("model_groups", &s.ModelGroups, nameListRule, CheckName, "Model groups that it calls."),
		inifile.Strings("services", &s.Services, nameListRule, CheckName, "Services that it calls; calls between services must not form a cycle."),
	}
}

func (o *Organisation) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Int("weight", &o.Weight, 1, maxWeight, "Relative share under contention."),
		inifile.Int("max_queued", &o.MaxQueued, 1, maxQueued, "Maximum number of requests queued in one gate."),
		inifile.Text("key_sha256", &o.KeySHA256, digestRule, checkDigest, "SHA-256 digest of its API key; empty admits requests without a key."),
	}
}
