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

// metricsTimeout limits reading the state for one scrape.
const metricsTimeout = time.Second

// newMetrics returns a registry with the metrics of this keeper and, while it leads, those of the
// deployment.
func newMetrics(k *Keeper) *prometheus.Registry {
	r := metrics.NewRegistry()
	r.MustRegister(
		&metrics.Replica{Status: k.localStatus},
		&metrics.Deployment{Status: k.leaderStatus},
		&metrics.Groups{Stats: k.groupStats},
	)
	return r
}

// localStatus returns the consensus state of this replica.
func (k *Keeper) localStatus() control.KeeperStatus {
	st, _ := k.keeperStatus(context.Background(), struct{}{})
	return st
}

// leaderStatus returns a summary of the state, and false unless this keeper is confirmed as leader.
func (k *Keeper) leaderStatus() (control.Status, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	st, err := k.status(ctx, struct{}{})
	return st, err == nil
}

// groupStats returns the statistics of groups, and false unless this keeper is confirmed as leader.
func (k *Keeper) groupStats() (group.Stats, bool) {
	if _, ok := k.leadingTerm(); !ok {
		return group.Stats{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	var stats group.Stats
	err := k.readState(ctx, func(s *state.State) error {
		stats = s.GroupStats()
		return nil
	})
	return stats, err == nil
}
