package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// roleLeader is the value of KeeperStatus.Role at the leader.
const roleLeader = "leader"

var (
	replicaLeads = prometheus.NewDesc("sesame_keeper_leads",
		"1 at the keeper that leads, else 0.", nil, nil)
	replicaTerm = prometheus.NewDesc("sesame_keeper_term",
		"Term of the consensus; it rises with each election.", nil, nil)
	replicaCommit = prometheus.NewDesc("sesame_keeper_commit_index",
		"Index of the last entry that this keeper knows to be committed.", nil, nil)
	replicaApplied = prometheus.NewDesc("sesame_keeper_applied_index",
		"Index of the last entry that this keeper has applied.", nil, nil)
	replicaLast = prometheus.NewDesc("sesame_keeper_last_index",
		"Index of the last entry in this keeper's log.", nil, nil)
	replicaSnapshot = prometheus.NewDesc("sesame_keeper_snapshot_index",
		"Index of the last entry that this keeper's snapshot holds.", nil, nil)
	replicaMembers = prometheus.NewDesc("sesame_keeper_members",
		"Replicas of the quorum as this keeper knows them.", nil, nil)
)

// Replica collects the consensus metrics of one keeper.
type Replica struct {
	Status func() control.KeeperStatus
}

// Describe implements prometheus.Collector.
func (*Replica) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{replicaLeads, replicaTerm, replicaCommit, replicaApplied, replicaLast, replicaSnapshot, replicaMembers} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (r *Replica) Collect(out chan<- prometheus.Metric) {
	st := r.Status()
	isLeader := 0.0
	if st.Role == roleLeader {
		isLeader = 1
	}
	gauge := func(desc *prometheus.Desc, v float64) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, v)
	}
	gauge(replicaLeads, isLeader)
	gauge(replicaTerm, float64(st.Term))
	gauge(replicaCommit, float64(st.CommitIndex))
	gauge(replicaApplied, float64(st.AppliedIndex))
	gauge(replicaLast, float64(st.LastIndex))
	gauge(replicaSnapshot, float64(st.SnapshotIndex))
	gauge(replicaMembers, float64(len(st.Members)))
}
