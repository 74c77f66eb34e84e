package permit

import (
	"cmp"
	"time"
)

// Options sets the allocator's policy. Zero values take the defaults.
type Options struct {
	// MaxRequestTime is the longest that a request may run on a target once
	// its gate is gone, including the time that its bytes may wait in a
	// socket. Default 90 s.
	MaxRequestTime time.Duration
	// LeaseTime is the longest that the lease of a replaced gate process may
	// still be valid; keepers don't renew it. Default 10 s.
	LeaseTime time.Duration
	// ReportLag is how old a target's own count of running work may be when
	// it arrives. Default 3 s.
	ReportLag time.Duration
	// RebalanceInterval is the least time between two moves of a target's
	// permits for demand. Default 2 s.
	RebalanceInterval time.Duration
	// MinPermits is the least useful part of one gate: a bound goes to at
	// most bound/MinPermits gates. Default 4.
	MinPermits int
	// Sharing is how a bound is divided. Default SharingDemand.
	Sharing Sharing

	Unsafe Unsafe
}

const (
	defaultMaxRequestTime    = 90 * time.Second
	defaultLeaseTime         = 10 * time.Second
	defaultReportLag         = 3 * time.Second
	defaultRebalanceInterval = 2 * time.Second
	defaultMinPermits        = 4
)

func (o Options) withDefaults() Options {
	o.MaxRequestTime = cmp.Or(o.MaxRequestTime, defaultMaxRequestTime)
	o.LeaseTime = cmp.Or(o.LeaseTime, defaultLeaseTime)
	o.ReportLag = cmp.Or(o.ReportLag, defaultReportLag)
	o.RebalanceInterval = cmp.Or(o.RebalanceInterval, defaultRebalanceInterval)
	o.MinPermits = cmp.Or(o.MinPermits, defaultMinPermits)
	o.Sharing = cmp.Or(o.Sharing, SharingDemand)
	return o
}
