package groupday

import (
	"fmt"
	"time"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Fleet describes the hosts of a simulation and the model group that they run.
type Fleet struct {
	FailureDomains int
	FabricDomains  int // in total, spread evenly over the failure domains
	HostsPerFabric int
	HostsPerGroup  int
	Copies         int
	Minimum        int
	WeightsBytes   int64         // fetched by each member
	StoreRate      int64         // bytes per second, all hosts together
	HostRate       int64         // bytes per second for one host
	PauseGrace     time.Duration // longest wait for a silent member
}

// Hosts returns the number of hosts.
func (f Fleet) Hosts() int { return f.FabricDomains * f.HostsPerFabric }

// CurrentFleet returns the present fleet of one user: its 50 hosts and one more, so that the three
// fabric domains have the same size.
func CurrentFleet() Fleet {
	return Fleet{
		FailureDomains: 3,
		FabricDomains:  3,
		HostsPerFabric: 17,
		HostsPerGroup:  4,
		Copies:         12,
		Minimum:        9,
		WeightsBytes:   140e9,
		StoreRate:      5e9,
		HostRate:       2500e6,
		PauseGrace:     time.Minute,
	}
}

// groupsPerFabric is the number of groups in a fabric domain of the target fleet.
const groupsPerFabric = 12

// TargetFleet returns a fleet of the target size: 12,000 hosts in 25 failure domains. A fabric
// domain holds 12 groups of 4 hosts, and the given number of spares.
func TargetFleet(spares int) Fleet {
	hosts := groupsPerFabric*4 + spares
	fabrics := 12000 / hosts
	return Fleet{
		FailureDomains: 25,
		FabricDomains:  fabrics,
		HostsPerFabric: hosts,
		HostsPerGroup:  4,
		Copies:         fabrics * groupsPerFabric,
		Minimum:        fabrics * groupsPerFabric * 9 / 10,
		WeightsBytes:   140e9,
		StoreRate:      200e9,
		HostRate:       2500e6,
		PauseGrace:     time.Minute,
	}
}

// objects returns the model group that the fleet runs and its versions.
func (f Fleet) objects() object.Set {
	return object.Set{
		Versions: []object.Version{
			{Name: "v1", Model: "assistant", WeightsBytes: f.WeightsBytes},
			{Name: "v2", Model: "assistant", WeightsBytes: f.WeightsBytes},
		},
		ModelGroups: []object.ModelGroup{{
			Name:          "assistant",
			Version:       "v1",
			Copies:        f.Copies,
			Minimum:       f.Minimum,
			HostsPerGroup: f.HostsPerGroup,
			PauseGrace:    f.PauseGrace,
		}},
	}
}

// host returns the host with the given number.
func (f Fleet) host(n int) view.Host {
	fabric := n / f.HostsPerFabric
	return view.Host{
		Name:          view.HostName(fmt.Sprintf("runner-%05d", n)),
		Incarnation:   1,
		Kind:          view.KindEngine,
		Address:       fmt.Sprintf("127.%d.%d.%d:8000", 1+n>>16, n>>8&255, n&255),
		FailureDomain: fmt.Sprintf("domain-%02d", fabric%f.FailureDomains),
		FabricDomain:  fmt.Sprintf("fabric-%03d", fabric),
		ChecksFence:   n%2 == 0,
	}
}

// TenthOfTargetFleet returns a tenth of the target fleet, with a tenth of the total store rate.
func TenthOfTargetFleet(spares int) Fleet {
	f := TargetFleet(spares)
	f.FabricDomains = 1200 / f.HostsPerFabric
	f.Copies = f.FabricDomains * groupsPerFabric
	f.Minimum = f.Copies * 9 / 10
	f.StoreRate /= 10
	return f
}
