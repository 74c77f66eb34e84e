package gatedaemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/access/accesstest"
	"github.com/sesamemux/sesamemux/pkg/edge/announce"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/gate"
	"github.com/sesamemux/sesamemux/pkg/logging"
	"github.com/sesamemux/sesamemux/pkg/settings"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// TestGateTakesItsOwnCertificateAlone starts gates with files of others.
func TestGateTakesItsOwnCertificateAlone(t *testing.T) {
	shops := accesstest.New(t, "shops")
	for name, files := range map[string]settings.TLS{
		"a keeper's":           shops.Issue(access.Keeper, "k1"),
		"another gate's":       shops.Issue(access.Gate, "g2"),
		"another deployment's": accesstest.New(t, "other").Issue(access.Gate, "g1"),
	} {
		s := settings.Default[settings.Gate]()
		s.Name, s.Cluster, s.TLS = "g1", "shops", files
		if err := Run(t.Context(), s, io.Discard); err == nil {
			t.Errorf("a gate ran with the certificate %s", name)
		}
	}
}

// startGate runs a gate whose keepers are out of reach, and returns its ports.
func startGate(t *testing.T, links *access.Transport) gate.Listeners {
	t.Helper()
	any := "127.0.0.1:0"
	ports, err := gate.Listen(gate.Addresses{Callers: any, Peers: any, Upstreams: any, RPC: any}, 10, links)
	if err != nil {
		t.Fatal(err)
	}
	s := settings.Default[settings.Gate]()
	s.Name, s.FailureDomain, s.MetricsListen, s.ShutdownNotice = "g1", "fd-a", "", 0
	s.Keepers = []string{"127.0.0.1:1"}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- runOn(ctx, s, links, ports, logging.New(io.Discard, logging.Options{})) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return ports
}

// post announces a host and returns the status, 0 if nothing came back.
func post(t *testing.T, links *access.Transport, address net.Addr, host view.HostName) int {
	t.Helper()
	body, err := json.Marshal(announce.Announcement{
		Host: view.Host{
			Name: host, Incarnation: 1, Kind: view.KindService, Service: "records",
			FailureDomain: "fd-a", Address: "127.0.0.1:9",
		},
		Status: report.Status{Incarnation: 1, Phase: report.PhaseReady},
	})
	if err != nil {
		t.Fatal(err)
	}
	dial := links.Dial(access.Gate)
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, a string) (net.Conn, error) { return dial(ctx, a) },
	}}
	resp, err := client.Post("http://"+address.String()+announce.Path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestAnnouncementsUnderTLS announces a host as several holders.
func TestAnnouncementsUnderTLS(t *testing.T) {
	shops := accesstest.New(t, "shops")
	ports := startGate(t, shops.Transport(access.Gate, "g1"))
	for _, c := range []struct {
		name   string
		links  *access.Transport
		status int
	}{
		{"the host", shops.Transport(access.Upstream, "h1"), http.StatusOK},
		{"another host", shops.Transport(access.Upstream, "h2"), http.StatusForbidden},
		{"a gate", shops.Transport(access.Gate, "h1"), 0},
		{"an operator", shops.Transport(access.Operator, "h1"), 0},
		{"plain", &access.Transport{}, http.StatusBadRequest},
		{"another deployment", accesstest.New(t, "shops").Transport(access.Upstream, "h1"), 0},
	} {
		got := post(t, c.links, ports.Upstreams.Addr(), "h1")
		for c.status != 0 && got == 0 { // a busy machine
			got = post(t, c.links, ports.Upstreams.Addr(), "h1")
		}
		if got != c.status {
			t.Errorf("%s got status %d, want %d", c.name, got, c.status)
		}
	}
	// The port for hand-over takes gates alone: what comes there names its
	// organisation without a key.
	if got := post(t, shops.Transport(access.Upstream, "h3"), ports.Peers.Addr(), "h3"); got != 0 {
		t.Errorf("an upstream at the port of gates got status %d", got)
	}
	gate, got := shops.Transport(access.Gate, "g2"), 0
	for got == 0 { // a busy machine
		got = post(t, gate, ports.Peers.Addr(), "h1")
	}
	if got != http.StatusNotFound {
		t.Errorf("a gate at the port of gates got status %d", got)
	}
}
