package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/group"
)

var (
	groupDowntime = prometheus.NewDesc("sesame_group_downtime_seconds_total",
		"Time that wanted groups took no work, summed over groups, by cause.", []string{"cause"}, nil)
	groupsWanted = prometheus.NewDesc("sesame_groups_wanted",
		"Groups that the objects ask for.", nil, nil)
	groupsTaking = prometheus.NewDesc("sesame_groups_taking_work",
		"Groups that take new work.", nil, nil)
	strandedHosts = prometheus.NewDesc("sesame_stranded_hosts",
		"Engine hosts that could work and are outside working groups.", nil, nil)
	strandedTime = prometheus.NewDesc("sesame_stranded_host_seconds_total",
		"Time of engine hosts that could work and were outside working groups, summed over hosts.", nil, nil)
	groupLoads = prometheus.NewDesc("sesame_group_loads_total",
		"Loads of one member's weights by how they ended.", []string{"end"}, nil)
	groupLoadsRunning = prometheus.NewDesc("sesame_group_loads_running",
		"Members that may fetch weights now.", nil, nil)
	groupLoadsWaiting = prometheus.NewDesc("sesame_group_loads_waiting",
		"Members that wait for their turn at the weights store.", nil, nil)
)

// Groups collects metrics on the groups of the deployment at the leading keeper.
type Groups struct {
	// Stats returns the current statistics, and false if this keeper is not the leader.
	Stats func() (group.Stats, bool)
}

// Describe implements prometheus.Collector.
func (*Groups) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		groupDowntime, groupsWanted, groupsTaking, strandedHosts, strandedTime, groupLoads, groupLoadsRunning, groupLoadsWaiting,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (g *Groups) Collect(out chan<- prometheus.Metric) {
	st, isLeader := g.Stats()
	if !isLeader {
		return
	}
	gauge := func(d *prometheus.Desc, v int) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v))
	}
	counter := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	for _, c := range st.Downtime {
		counter(groupDowntime, c.Time.Seconds(), c.Cause.String())
	}
	gauge(groupsWanted, st.Wanted)
	gauge(groupsTaking, st.TakingWork)
	gauge(strandedHosts, st.Stranded)
	counter(strandedTime, st.StrandedTime.Seconds())
	counter(groupLoads, float64(st.LoadsDone), "done")
	counter(groupLoads, float64(st.LoadsWasted), "wasted")
	gauge(groupLoadsRunning, st.LoadsRunning)
	gauge(groupLoadsWaiting, st.LoadsWaiting)
}
