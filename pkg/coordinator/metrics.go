package coordinator

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// Metrics holds the Prometheus metrics of a coordinator.
type Metrics struct {
	Registry   *prometheus.Registry
	Leading    prometheus.Gauge
	Orders     *prometheus.CounterVec
	Suspicions prometheus.Counter
	DeadHosts  prometheus.Counter
	Trials     *prometheus.CounterVec
	EndChecks  *prometheus.CounterVec
	InForce    *prometheus.HistogramVec
	// LeaderCalls and TimerDelay together tell a lost link from a short processor.
	LeaderCalls *prometheus.CounterVec
	TimerDelay  prometheus.Histogram
	ReplicaLag  prometheus.Gauge
	// Members is set by the leader alone: how far the quorum is from its loss.
	Members *prometheus.GaugeVec
	// ReplicaState is 1 for the state of the replica and 0 for the others.
	ReplicaState *prometheus.GaugeVec
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		Leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sesame_coordinator_leading", Help: "1 while this coordinator leads."}),
		Orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_coordinator_orders_total", Help: "Orders to engine hosts by kind and outcome."}, []string{"order", "outcome"}),
		Suspicions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sesame_coordinator_suspicions_total", Help: "Words of entry hosts that a head went silent."}),
		DeadHosts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sesame_coordinator_dead_hosts_total", Help: "Hosts found dead by probes."}),
		Trials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_coordinator_trials_total", Help: "Questions for a trial of a request that may end upstreams, by outcome."}, []string{"outcome"}),
		EndChecks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_coordinator_end_checks_total", Help: "Questions whether an upstream that refuses connections has ended, by what was found."}, []string{"state"}),
		InForce: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sesame_coordinator_in_force_seconds", Help: "Time from the commit of a change at the leader until its acknowledgement, by whether all entry hosts in touch had confirmed it.",
			Buckets: []float64{.02, .05, .1, .2, .5, 1, 2, 5}}, []string{"outcome"}),
		LeaderCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_coordinator_leader_calls_total", Help: "Sync calls of this coordinator to the leader, by outcome."}, []string{"outcome"}),
		TimerDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sesame_coordinator_timer_delay_seconds", Help: "How late a timer of 100 ms ran, as the processor was busy or the process stood still.",
			Buckets: []float64{.005, .02, .05, .1, .2, .5, 1, 2}}),
		ReplicaLag: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sesame_coordinator_replica_lag_seconds", Help: "For how long this coordinator's replica has been behind the leader."}),
		Members: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sesame_coordinator_members", Help: "Replicas as the leader sees them, by role and by whether they were heard of within a second. Only the leader sets it."}, []string{"role", "state"}),
	}
	m.ReplicaState = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "sesame_coordinator_replica_state", Help: "1 for the state of this coordinator's replica, 0 for the others."}, []string{"state"})
	m.setReplicaState(control.ReplicaNone)
	m.Registry.MustRegister(m.ReplicaState, m.Leading, m.Orders, m.Suspicions, m.DeadHosts, m.Trials, m.EndChecks, m.InForce, m.LeaderCalls, m.TimerDelay, m.ReplicaLag, m.Members)
	return m
}

func (m *Metrics) setReplicaState(state control.ReplicaState) {
	for _, s := range []control.ReplicaState{control.ReplicaNone, control.ReplicaJoining, control.ReplicaLearner, control.ReplicaVoter} {
		m.ReplicaState.WithLabelValues(string(s)).Set(0)
	}
	m.ReplicaState.WithLabelValues(string(state)).Set(1)
}
