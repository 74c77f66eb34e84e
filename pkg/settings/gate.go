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

// Upper limits of a gate's settings, and byte units.
const (
	kib = 1 << 10
	mib = 1 << 20

	maxBodyBytes   = 256 * mib
	maxHeaderBytes = mib
	maxConnections = 1_000_000

	// maxRequestTime is the time after which the permit allocator assumes that the
	// requests of a gate without a lease have ended on a target. No gate may let a
	// request run longer.
	maxRequestTime = 90 * time.Second
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
	g.MaxRequestTime = maxRequestTime
	g.ShutdownNotice = 5 * time.Second
	g.LogLevel = logging.Info
}

// Fields implements Program.
func (g *Gate) Fields() []inifile.Field {
	fields := []inifile.Field{
		required(inifile.Text("name", &g.Name, nameRule, checkName, "Name of this gate, unique in the deployment.")),
		inifile.Text("host", &g.Host, nameRule+", or empty", optional(checkName), "Name of this host in logs; empty means the system's host name."),
		required(inifile.Text("cluster", &g.Cluster, nameRule, checkName, "Name of the deployment.")),
		required(inifile.Text("failure_domain", &g.FailureDomain, nameRule, checkName, "Failure domain of this host.")),
		required(listen("http_listen", &g.HTTPListen, "Address for callers, behind the platform's load balancer.")),
		required(reachable("peer_listen", &g.PeerListen, "Address at which other gates hand over requests.")),
		required(reachable("rpc_listen", &g.RPCListen, "Address for operators.")),
		required(listen("upstream_listen", &g.UpstreamListen, "Address for upstreams' announcements.")),
		listen("metrics_listen", &g.MetricsListen, "Address of metrics, health and readiness."),
		required(addresses("keepers", &g.Keepers, "JSON-RPC addresses of the keepers.")),
		inifile.Bytes("max_body_bytes", &g.MaxBodyBytes, 1, maxBodyBytes, "Maximum size of a request body."),
		inifile.Bytes("max_header_bytes", &g.MaxHeaderBytes, kib, maxHeaderBytes, "Maximum size of a request header."),
		inifile.Duration("header_timeout", &g.HeaderTimeout, 100*time.Millisecond, time.Minute, "Timeout for reading a complete request header."),
		inifile.Duration("body_timeout", &g.BodyTimeout, time.Second, maxRequestTime, "Timeout for reading a complete request body."),
		inifile.Int("max_connections", &g.MaxConnections, 1, maxConnections, "Maximum number of open caller connections."),
		inifile.Duration("max_request_time", &g.MaxRequestTime, time.Second, maxRequestTime, "Maximum duration of one request including its response."),
		inifile.Duration("shutdown_notice", &g.ShutdownNotice, 0, 10*time.Minute, "How long requests are still accepted after the load balancer was notified of a shutdown."),
		inifile.Text("data_dir", &g.DataDir, "path of a directory, or empty", nil, "Directory of the timeline file; empty keeps the timeline only in memory."),
		logLevel(&g.LogLevel),
	}
	return append(fields, g.TLS.fields()...)
}

// Conflicts implements Program. Callers connect to http_listen without a certificate
// of the deployment, so the TLS files don't protect it.
func (g *Gate) Conflicts() []Conflict {
	links := []endpoint{{"peer_listen", g.PeerListen}, {"rpc_listen", g.RPCListen}, {"upstream_listen", g.UpstreamListen}}
	for _, k := range g.Keepers {
		links = append(links, endpoint{"keepers", k})
	}
	list := g.TLS.conflicts(links)
	return append(list, g.TLS.plainConflicts([]endpoint{{"http_listen", g.HTTPListen}})...)
}
