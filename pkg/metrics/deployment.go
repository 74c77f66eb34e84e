package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/view"
)

var (
	groups = prometheus.NewDesc("sesame_groups",
		"Groups by model group, state and failure domain.", []string{"model_group", "state", "failure_domain"}, nil)
	hosts = prometheus.NewDesc("sesame_hosts",
		"Upstream hosts by kind, state and failure domain.", []string{"kind", "state", "failure_domain"}, nil)
	drains = prometheus.NewDesc("sesame_drains",
		"Standing orders of operators to give something no new work.", []string{"kind"}, nil)
	objectRevision = prometheus.NewDesc("sesame_object_revision",
		"Revision of the objects in force.", nil, nil)
	viewRevision = prometheus.NewDesc("sesame_view_revision",
		"Revision of the view that was published last.", nil, nil)
	viewBarrier = prometheus.NewDesc("sesame_view_barrier",
		"Revision of the view that is in force on every gate that may take work.", nil, nil)
	leaseLeft = prometheus.NewDesc("sesame_gate_lease_left_seconds",
		"What is left of a gate's lease; below 0 it has lapsed.", []string{"gate", "failure_domain"}, nil)
)

// Deployment collects metrics of the whole deployment at the leading keeper.
type Deployment struct {
	// Status returns the current state, and false if this keeper is not the leader.
	Status func() (control.Status, bool)
}

// Describe implements prometheus.Collector.
func (*Deployment) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		groups, hosts, drains, objectRevision, viewRevision, viewBarrier, leaseLeft,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (d *Deployment) Collect(out chan<- prometheus.Metric) {
	st, isLeader := d.Status()
	if !isLeader {
		return
	}
	gauge := func(desc *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, v, labels...)
	}
	gauge(objectRevision, float64(st.ObjectRevision))
	gauge(viewRevision, float64(st.ViewRevision))
	gauge(viewBarrier, float64(st.Barrier))
	for _, g := range st.Gates {
		left := time.Duration(g.LeaseLeftMS) * time.Millisecond
		gauge(leaseLeft, left.Seconds(), string(g.Gate.Name), g.Gate.FailureDomain)
	}
	for k, n := range countGroups(st.Groups) {
		gauge(groups, float64(n), k.modelGroup, k.state, k.failureDomain)
	}
	for k, n := range countHosts(st.Hosts) {
		gauge(hosts, float64(n), k.kind, k.state, k.failureDomain)
	}
	for kind, n := range countDrains(st.Drains) {
		gauge(drains, float64(n), kind)
	}
}

// groupKey holds the label values of sesame_groups.
type groupKey struct {
	modelGroup, state, failureDomain string
}

func countGroups(list []view.Group) map[groupKey]int {
	counts := make(map[groupKey]int)
	for _, g := range list {
		counts[groupKey{g.ModelGroup, string(g.State), g.FailureDomain}]++
	}
	return counts
}

// hostKey holds the label values of sesame_hosts.
type hostKey struct {
	kind, state, failureDomain string
}

func countHosts(list []view.Host) map[hostKey]int {
	counts := make(map[hostKey]int)
	for _, h := range list {
		state := "in-service"
		switch {
		case h.Leaving:
			state = "leaving"
		case h.Drained:
			state = "drained"
		}
		counts[hostKey{string(h.Kind), state, h.FailureDomain}]++
	}
	return counts
}

func countDrains(list []view.Drain) map[string]int {
	counts := make(map[string]int)
	for _, d := range list {
		counts[string(d.Kind)]++
	}
	return counts
}
