package object

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/inifile"
)

// Bounds of fields.
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
	pathRule   = `a path that starts with "/"`
	digestRule = "64 hexadecimal digits in lower case"
	listOfName = "names, separated by commas"
)

func required(f inifile.Field) inifile.Field {
	f.Required = true
	return f
}

// The fields methods bind each object's fields to their keys, in the order in
// which they are written.

func (d *FailureDomain) fields() []inifile.Field {
	return []inifile.Field{
		required(inifile.Text("region", &d.Region, nameRule, checkOptionalName, "Region that it is part of.")),
	}
}

func (d *FabricDomain) fields() []inifile.Field {
	return []inifile.Field{
		required(inifile.Text("failure_domain", &d.FailureDomain, nameRule, checkOptionalName, "Failure domain that it stands in.")),
		required(inifile.Int("hosts", &d.Hosts, 1, maxHosts, "Hosts expected there.")),
	}
}

func (v *Version) fields() []inifile.Field {
	return []inifile.Field{
		required(inifile.Text("model", &v.Model, nameRule, checkOptionalName, "Model that it is a version of.")),
		inifile.Bytes("weights_bytes", &v.WeightsBytes, 1, tib, "Bytes that each member fetches from the weights store."),
	}
}

func (a *Adapter) fields() []inifile.Field {
	return []inifile.Field{
		required(inifile.Text("model", &a.Model, nameRule, checkOptionalName, "Model that it is made for.")),
		required(inifile.Strings("versions", &a.Versions, listOfName, CheckName, "Versions of the model that it fits.")),
	}
}

func (m *ModelGroup) fields() []inifile.Field {
	return []inifile.Field{
		required(inifile.Text("version", &m.Version, nameRule, checkOptionalName, "Version that its groups serve.")),
		inifile.Strings("adapters", &m.Adapters, listOfName, CheckName, "Adapters that its groups load."),
		inifile.Int("copies", &m.Copies, 1, maxCopies, "Groups wanted."),
		inifile.Int("minimum", &m.Minimum, 0, maxCopies, "Serving groups that a change of the system's own never goes under."),
		inifile.Int("hosts_per_group", &m.HostsPerGroup, 1, maxPerGroup, "Hosts of one group, all in one fabric domain."),
		inifile.Strings("failure_domains", &m.FailureDomains, listOfName, CheckName, "Where groups may stand; empty means anywhere."),
		inifile.Int("priority", &m.Priority, 0, maxPriority, "Order of loading between model groups; higher first."),
		inifile.Int("max_in_flight", &m.MaxInFlight, 1, maxInFlight, "Requests in flight on a proven group."),
		inifile.Int("cold_in_flight", &m.ColdInFlight, 1, maxInFlight, "Requests in flight on a just-started group."),
		inifile.Duration("ramp_time", &m.RampTime, 0, maxRamp, "Least time from cold to proven."),
		inifile.Duration("pause_grace", &m.PauseGrace, 0, maxGrace, "How long a silent member may be waited for."),
	}
}

func (s *Service) fields() []inifile.Field {
	return []inifile.Field{
		inifile.List("once_only", &s.OnceOnly, "calls such as POST /bill, separated by commas", parseCall, formatCall, checkCall, "Calls that may not be repeated, as method and path prefix."),
		inifile.Text("key_header", &s.KeyHeader, "a header name", checkHeader, "Request header that carries the caller's key of a once-only call."),
		inifile.Text("outcome_path", &s.OutcomePath, pathRule, checkOptionalPath, "Path on the service that tells the outcome of a key; empty if it can't be asked."),
		inifile.Duration("timeout", &s.Timeout, time.Millisecond, maxTimeout, "Longest time of one call."),
		inifile.Duration("retention", &s.Retention, minRetention, maxRetention, "How long once-only records are kept."),
		inifile.Int("max_records", &s.MaxRecords, 1, maxRecords, "Once-only records kept at most."),
		inifile.Bytes("max_answer_bytes", &s.MaxAnswer, 0, maxAnswer, "Bytes of an answer that are recorded at most."),
		inifile.Int("max_in_flight", &s.MaxInFlight, 1, maxInFlight, "Requests in flight on a proven host."),
		inifile.Int("cold_in_flight", &s.ColdInFlight, 1, maxInFlight, "Requests in flight on a just-started host."),
		inifile.Duration("ramp_time", &s.RampTime, 0, maxRamp, "Least time from cold to proven."),
		inifile.Strings("model_groups", &s.ModelGroups, listOfName, CheckName, "Model groups that it calls."),
		inifile.Strings("services", &s.Services, listOfName, CheckName, "Services that it calls; no chain of calls may return to its start."),
	}
}

func (o *Organisation) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Int("weight", &o.Weight, 1, maxWeight, "Share under contention."),
		inifile.Int("max_queued", &o.MaxQueued, 1, maxQueued, "Requests waiting in one gate at most."),
		inifile.Text("key_sha256", &o.KeySHA256, digestRule, checkDigest, "SHA-256 digest of its API key; empty admits without a key."),
	}
}
