package metrics

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// gather returns the metrics of the collectors as a map from name{label values} to value.
func gather(t *testing.T, list ...prometheus.Collector) map[string]float64 {
	t.Helper()
	r := prometheus.NewPedanticRegistry()
	for _, c := range list {
		r.MustRegister(c)
	}
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			var labels []string
			for _, l := range m.GetLabel() {
				labels = append(labels, l.GetValue())
			}
			got[fmt.Sprintf("%s{%s}", f.GetName(), strings.Join(labels, ","))] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	return got
}

// heldLease is a lease with a fixed remaining time.
type heldLease time.Duration

func (l heldLease) Valid() bool         { return l > 0 }
func (l heldLease) Left() time.Duration { return time.Duration(l) }

func TestDeploymentAndReplica(t *testing.T) {
	st := control.Status{
		ObjectRevision: 3, ViewRevision: 9, Barrier: 8,
		Gates:  []control.GateStatus{{Gate: view.Gate{Name: "g1", FailureDomain: "fd-a"}, LeaseLeftMS: -500}},
		Groups: []view.Group{{ModelGroup: "m", State: view.StateServing, FailureDomain: "fd-a"}, {ModelGroup: "m", State: view.StateServing, FailureDomain: "fd-a"}},
		Hosts:  []view.Host{{Kind: view.KindEngine, FailureDomain: "fd-a", Drained: true}, {Kind: view.KindEngine, FailureDomain: "fd-a", Leaving: true, Drained: true}},
		Drains: []view.Drain{{Kind: view.DrainFailureDomain}},
	}
	isLeader := true
	d := &Deployment{Status: func() (control.Status, bool) { return st, isLeader }}
	r := &Replica{Status: func() control.KeeperStatus {
		return control.KeeperStatus{Role: "leader", Term: 4, CommitIndex: 20, AppliedIndex: 19, LastIndex: 21, SnapshotIndex: 10, Members: make([]control.Member, 3)}
	}}
	stats := group.Stats{
		Downtime: []group.CauseDowntime{{Cause: group.CauseAllMembersSilent, Time: 2 * time.Second}, {Cause: group.CauseDrain, Time: 1500 * time.Millisecond}},
		Wanted:   4, TakingWork: 3, Stranded: 2, StrandedTime: 7 * time.Second,
		LoadsDone: 8, LoadsWasted: 1, LoadsRunning: 5, LoadsWaiting: 6,
	}
	g := &Groups{Stats: func() (group.Stats, bool) { return stats, isLeader }}
	v := view.New()
	v.Revision = 9
	gate := &Gate{Lease: heldLease(2500 * time.Millisecond), View: func() *view.View { return v }}
	want := map[string]float64{
		"sesame_group_downtime_seconds_total{drain}":       1.5,
		"sesame_group_downtime_seconds_total{domain-dark}": 2,
		"sesame_groups_wanted{}":                           4,
		"sesame_groups_taking_work{}":                      3,
		"sesame_stranded_hosts{}":                          2,
		"sesame_stranded_host_seconds_total{}":             7,
		"sesame_group_loads_total{done}":                   8,
		"sesame_group_loads_total{wasted}":                 1,
		"sesame_group_loads_running{}":                     5,
		"sesame_group_loads_waiting{}":                     6,
		"sesame_lease_held{}":                              1,
		"sesame_lease_remaining_seconds{}":                 2.5,
		"sesame_view_in_force{}":                           9,
		"sesame_keeper_last_index{}":                       21,
		"sesame_keeper_snapshot_index{}":                   10,
		"sesame_object_revision{}":                         3,
		"sesame_view_revision{}":                           9,
		"sesame_view_barrier{}":                            8,
		"sesame_gate_lease_left_seconds{fd-a,g1}":          -0.5,
		"sesame_groups{fd-a,m,serving}":                    2,
		"sesame_hosts{fd-a,engine,drained}":                1,
		"sesame_hosts{fd-a,engine,leaving}":                1,
		"sesame_drains{failure-domain}":                    1,
		"sesame_keeper_leads{}":                            1,
		"sesame_keeper_term{}":                             4,
		"sesame_keeper_commit_index{}":                     20,
		"sesame_keeper_applied_index{}":                    19,
		"sesame_keeper_members{}":                          3,
	}
	got := gather(t, d, r, g, gate)
	for name, v := range want {
		if have, ok := got[name]; !ok || have != v {
			t.Errorf("%s: got %v, want %v", name, have, v)
		}
	}
	if len(got) != len(want) {
		t.Errorf("got %d metrics, want %d: %v", len(got), len(want), got)
	}
	isLeader = false
	if got := gather(t, d, g); len(got) != 0 {
		t.Errorf("keeper that is not the leader exports %v, want none", got)
	}
}
