package settings

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/inifile"
	"github.com/sesamemux/sesamemux/pkg/logging"
)

// Gate holds the settings of sesame-gate.
type Gate struct {
	Name           string
	Host           string
	Cluster        string
	FailureDomain  string
	HTTPListen     string
	PeerListen     string
	RPCListen      string
	UpstreamListen string
	MetricsListen  string
	Keepers        []string
	MaxBodyBytes   int64
	MaxHeaderBytes int64
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	MaxConnections int
	MaxRequestTime time.Duration
	ShutdownNotice time.Duration
	DataDir        string
	LogLevel       logging.Level
	TLS            TLS
}

// Bounds and defaults of a gate's limits.
const (
	kib = 1 << 10
	mib = 1 << 20

	maxBody        = 256 * mib
	maxHeader      = mib
	maxConnections = 1_000_000

	// maxRequest is the time after which the permit allocator takes for ended
	// what a gate without a lease still has on a target; no gate may let a
	// request run longer.
	maxRequest = 90 * time.Second
)

// Section implements Program.
func (g *Gate) Section() string { return "gate" }

func (g *Gate) setDefaults() {
	g.Cluster = "sesame"
	g.HTTPListen = "127.0.0.1:7800"
	g.PeerListen = "127.0.0.1:7801"
	g.RPCListen = "127.0.0.1:7802"
	g.UpstreamListen = "127.0.0.1:7803"
	g.MetricsListen = "127.0.0.1:7804"
	g.MaxBodyBytes = 8 * mib
	g.MaxHeaderBytes = 32 * kib
	g.HeaderTimeout = 5 * time.Second
	g.BodyTimeout = 30 * time.Second
	g.MaxConnections = 10_000
	g.MaxRequestTime = maxRequest
	g.ShutdownNotice = 5 * time.Second
	g.LogLevel = logging.Info
}

// Fields implements Program.
func (g *Gate) Fields() []inifile.Field {
	fields := []inifile.Field{
		required(inifile.Text("name", &g.Name, nameRule, checkName, "Name of this gate, one of a kind in the deployment.")),
		inifile.Text("host", &g.Host, nameRule+", or empty", optional(checkName), "Name of this host in logs; empty means the machine's own name."),
		required(inifile.Text("cluster", &g.Cluster, nameRule, checkName, "Name of the deployment.")),
		required(inifile.Text("failure_domain", &g.FailureDomain, nameRule, checkName, "Failure domain that this host stands in.")),
		required(listen("http_listen", &g.HTTPListen, "Address for callers, behind the platform's balancer.")),
		required(reachable("peer_listen", &g.PeerListen, "Address where other gates hand requests over.")),
		required(reachable("rpc_listen", &g.RPCListen, "Address for operators.")),
		required(listen("upstream_listen", &g.UpstreamListen, "Address for upstreams' announcements.")),
		listen("metrics_listen", &g.MetricsListen, "Address of metrics, health and readiness."),
		required(addresses("keepers", &g.Keepers, "JSON-RPC addresses of the keepers.")),
		inifile.Bytes("max_body_bytes", &g.MaxBodyBytes, 1, maxBody, "Longest body of a request."),
		inifile.Bytes("max_header_bytes", &g.MaxHeaderBytes, kib, maxHeader, "Longest header of a request."),
		inifile.Duration("header_timeout", &g.HeaderTimeout, 100*time.Millisecond, time.Minute, "Longest time until a request's header is whole."),
		inifile.Duration("body_timeout", &g.BodyTimeout, time.Second, maxRequest, "Longest time until a request's body is whole."),
		inifile.Int("max_connections", &g.MaxConnections, 1, maxConnections, "Open connections of callers."),
		inifile.Duration("max_request_time", &g.MaxRequestTime, time.Second, maxRequest, "Longest time of one request with its answer."),
		inifile.Duration("shutdown_notice", &g.ShutdownNotice, 0, 10*time.Minute, "How long requests are still taken after the balancer was told of a shutdown."),
		inifile.Text("data_dir", &g.DataDir, "path of a folder, or empty", nil, "Folder of the time line's file; empty keeps it in memory alone."),
		logLevel(&g.LogLevel),
	}
	return append(fields, g.TLS.fields()...)
}

// Conflicts implements Program. Callers reach http_listen without a
// certificate of ours, so that TLS files don't protect it.
func (g *Gate) Conflicts() []Conflict {
	links := []endpoint{{"peer_listen", g.PeerListen}, {"rpc_listen", g.RPCListen}, {"upstream_listen", g.UpstreamListen}}
	for _, k := range g.Keepers {
		links = append(links, endpoint{"keepers", k})
	}
	list := g.TLS.conflicts(links)
	return append(list, g.TLS.plainConflicts([]endpoint{{"http_listen", g.HTTPListen}})...)
}
