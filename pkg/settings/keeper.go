package settings

import (
	"fmt"
	"math"

	"github.com/sesamemux/sesamemux/pkg/inifile"
	"github.com/sesamemux/sesamemux/pkg/logging"
)

// Keeper holds the settings of sesame-keeper.
type Keeper struct {
	ID            uint64
	Host          string
	Cluster       string
	FailureDomain string
	DataDir       string
	RPCListen     string
	MetricsListen string
	Peers         []Peer
	Join          bool
	TimelineDir   string
	LogLevel      logging.Level
	TLS           TLS
}

// Section implements Program.
func (k *Keeper) Section() string { return "keeper" }

func (k *Keeper) setDefaults() {
	k.Cluster = "sesame"
	k.RPCListen = "127.0.0.1:7700"
	k.MetricsListen = "127.0.0.1:7701"
	k.LogLevel = logging.Info
}

// Fields implements Program.
func (k *Keeper) Fields() []inifile.Field {
	fields := []inifile.Field{
		required(inifile.Int("id", &k.ID, 1, math.MaxUint32, "ID of this keeper replica. A replica that lost its disk gets a new ID.")),
		inifile.Text("host", &k.Host, nameRule+", or empty", optional(checkName), "Name of this host in logs; empty means the system's host name."),
		required(inifile.Text("cluster", &k.Cluster, nameRule, checkName, "Name of the deployment; keepers of another deployment are rejected.")),
		required(inifile.Text("failure_domain", &k.FailureDomain, nameRule, checkName, "Failure domain of this host.")),
		required(inifile.Text("data_dir", &k.DataDir, "path of a directory", nil, "Directory of the replicated state. It must survive restarts.")),
		required(reachable("rpc_listen", &k.RPCListen, "Address for keepers, gates and operators.")),
		listen("metrics_listen", &k.MetricsListen, "Address of metrics, health and readiness."),
		required(inifile.List("peers", &k.Peers, "id@IP:port, separated by commas", parsePeer, formatPeer, checkPeer,
			"All keepers of the initial quorum including this one; with join, keepers to contact.")),
		inifile.Bool("join", &k.Join, "Wait to be added by sesamectl keeper replace instead of forming the initial quorum."),
		inifile.Text("timeline_dir", &k.TimelineDir, "path of a directory, or empty", nil, "Directory of the timeline file; empty keeps the timeline only in memory."),
		logLevel(&k.LogLevel),
	}
	return append(fields, k.TLS.fields()...)
}

// Conflicts implements Program.
func (k *Keeper) Conflicts() []Conflict {
	links := []endpoint{{"rpc_listen", k.RPCListen}}
	for _, p := range k.Peers {
		links = append(links, endpoint{"peers", p.Address})
	}
	list := k.TLS.conflicts(links)
	seen := make(map[uint64]bool)
	for _, p := range k.Peers {
		if seen[p.ID] {
			list = append(list, Conflict{"peers", fmt.Sprintf("id %d is listed twice", p.ID)})
		}
		seen[p.ID] = true
	}
	if !k.Join && !seen[k.ID] {
		list = append(list, Conflict{"peers", fmt.Sprintf("this keeper, id %d, is not listed; list it or set join = yes", k.ID)})
	}
	return list
}
