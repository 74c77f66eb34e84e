package object

import "time"

// Byte units.
const (
	kib = 1 << 10
	gib = 1 << 30
	tib = 1 << 40
)

// DefaultKeyHeader is the default request header for the caller's idempotency key of
// a once-only call.
const DefaultKeyHeader = "Idempotency-Key"

// defaultModelGroup returns a model group with the defaults of its optional fields.
func defaultModelGroup(name string) ModelGroup {
	return ModelGroup{
		Name:          name,
		Copies:        1,
		Minimum:       0,
		HostsPerGroup: 1,
		Priority:      5,
		MaxInFlight:   64,
		ColdInFlight:  4,
		RampTime:      30 * time.Second,
		PauseGrace:    5 * time.Second,
	}
}

func defaultService(name string) Service {
	return Service{
		Name:         name,
		KeyHeader:    DefaultKeyHeader,
		Timeout:      10 * time.Second,
		Retention:    24 * time.Hour,
		MaxRecords:   100_000,
		MaxAnswer:    64 * kib,
		MaxInFlight:  32,
		ColdInFlight: 4,
		RampTime:     10 * time.Second,
	}
}

func defaultOrganisation(name string) Organisation {
	return Organisation{Name: name, Weight: 1, MaxQueued: 100}
}

func defaultVersion(name string) Version {
	return Version{Name: name, WeightsBytes: 16 * gib}
}
