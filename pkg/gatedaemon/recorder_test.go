package gatedaemon

import (
	"context"
	"fmt"
	"io"
	"maps"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// TestProxyEventsAreRecorded checks the recorded event and the attempt counters for events of
// both proxies.
func TestProxyEventsAreRecorded(t *testing.T) {
	v := view.New()
	v.Hosts.Put("e1", view.Host{Name: "e1", FailureDomain: "fd-a"}, 1)
	v.Hosts.Put("r1", view.Host{Name: "r1", FailureDomain: "fd-b"}, 1)
	line, err := timeline.NewRecorder(timeline.Options{Process: "gate/g1"})
	if err != nil {
		t.Fatal(err)
	}
	registry := prometheus.NewRegistry()
	attempts := newAttemptCounters(registry, func() *view.View { return v })
	models, services := &recorder{line, attempts}, &serviceRecorder{line, attempts}

	models.Record("request-sent", "request", "q1", "group", "assistant-1", "host", view.HostName("e1"), "attempt", 2, "offset", 0)
	models.Record("request-broken", "request", "q1", "host", view.HostName("e1"), "err", io.ErrUnexpectedEOF)
	models.Record("request-broken", "request", "q1", "host", view.HostName("e1"), "err", fmt.Errorf("read: %w", context.Canceled))
	models.Record("request-sent", "request", "q1", "host", view.HostName("gone"))
	services.Record(serviceproxy.Event{Kind: serviceproxy.EventSend, Host: "r1"})
	services.Record(serviceproxy.Event{Kind: serviceproxy.EventEnd, Host: "r1", Outcome: outcome.Ran})
	services.Record(serviceproxy.Event{Kind: serviceproxy.EventSend, Host: "r1"})
	services.Record(serviceproxy.Event{Kind: serviceproxy.EventEnd, Host: "r1", Outcome: outcome.Unknown})

	first := line.Events(timeline.Filter{Request: "q1"}, 0)[0]
	if first.Kind != timeline.RequestSent || first.Attempt != 2 || first.Group != "assistant-1" || first.Host != "e1" || first.Text != "offset=0" {
		t.Errorf("got first event %+v", first)
	}
	want := map[string]float64{
		"sesame_upstream_attempts_broken_total fd-a": 1,
		"sesame_upstream_attempts_broken_total fd-b": 1,
		"sesame_upstream_attempts_total fd-a":        1,
		"sesame_upstream_attempts_total fd-b":        2,
		"sesame_upstream_attempts_total unknown":     1,
	}
	if got := counts(t, registry); !maps.Equal(got, want) {
		t.Errorf("got counters %v, want %v", got, want)
	}
}

// counts returns the values of all counters by name and label value.
func counts(t *testing.T, g prometheus.Gatherer) map[string]float64 {
	t.Helper()
	families, err := g.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			got[f.GetName()+" "+m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
		}
	}
	return got
}
