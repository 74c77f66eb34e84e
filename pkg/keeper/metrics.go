package keeper

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/metrics"
	"github.com/sesamemux/sesamemux/pkg/state"
)

// metricsTimeout bounds the look at the state for one scrape.
const metricsTimeout = time.Second

// newMetrics returns what a keeper shows of itself and, while it leads, of the
// deployment.
func newMetrics(k *Keeper) *prometheus.Registry {
	r := metrics.NewRegistry()
	r.MustRegister(
		&metrics.Replica{Status: k.ownStatus},
		&metrics.Deployment{Status: k.leaderStatus},
		&metrics.Groups{Stats: k.groupStats},
	)
	return r
}

// ownStatus returns this replica's part in the quorum.
func (k *Keeper) ownStatus() control.KeeperStatus {
	st, _ := k.keeperStatus(context.Background(), struct{}{})
	return st
}

// leaderStatus returns the state in short; false unless this keeper leads for
// sure.
func (k *Keeper) leaderStatus() (control.Status, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	st, err := k.status(ctx, struct{}{})
	return st, err == nil
}

// groupStats tells how groups fare; false unless this keeper leads for sure.
func (k *Keeper) groupStats() (group.Stats, bool) {
	if _, ok := k.leading(); !ok {
		return group.Stats{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	var stats group.Stats
	err := k.read(ctx, func(s *state.State) error {
		stats = s.GroupStats()
		return nil
	})
	return stats, err == nil
}
